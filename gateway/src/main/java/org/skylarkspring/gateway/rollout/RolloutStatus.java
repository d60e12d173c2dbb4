package org.skylarkspring.gateway.rollout;

/**
 * What instances have recorded in the entry of a rollout.
 *
 * @param stage the stage
 * @param target version that the stage is about; differs from that of the entry if the
 * entry was changed since
 * @param decidedBy id of the instance that wrote it
 * @param reason why the stage was entered, with figures
 * @param startedAtEpochMillis when the first instance saw the order, in milliseconds
 * since the epoch, 0 if unknown
 */
public record RolloutStatus(RolloutStage stage, String target, String decidedBy, String reason,
		long startedAtEpochMillis) {
}
