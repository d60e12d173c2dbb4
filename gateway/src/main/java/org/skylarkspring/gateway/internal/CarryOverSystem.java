package org.skylarkspring.gateway.internal;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.skylarkspring.gateway.http.TextResult;
import org.skylarkspring.gateway.model.EngineSpec;
import org.skylarkspring.gateway.model.MoveResult;

/**
 * Carries running generations from servers that leave to others, within the same answer:
 * the memory is copied while the generation runs, then it is stopped, the rest is copied,
 * and the target goes on from the last event delivered.
 */
final class CarryOverSystem {

	private static final long COPY_TIMEOUT_MILLIS = 3_000;

	/** Pause before another target is looked for. */
	private static final long RETRY_MILLIS = 20;

	/** Pause before a generation that had not started is looked for again. */
	private static final long NOT_STARTED_RETRY_MILLIS = 60;

	/**
	 * Pause before targets that refused are asked again; the source lives for more than
	 * ten of them.
	 */
	private static final long NO_TARGET_RETRY_MILLIS = 100;

	/** Time in which the stopped source's stream ends, well above a round trip. */
	private static final long SOURCE_END_MILLIS = 60;

	/**
	 * Share of the longest pause that is on time which the last copy may take; the rest
	 * is for the way to the target and its first event.
	 */
	private static final double LAST_COPY_SHARE_OF_GAP = 0.4;

	private final GatewayContext context;

	private final CallFlow flow;

	private final CallEndings endings;

	private final Placer placer;

	CarryOverSystem(GatewayContext context, CallFlow flow, CallEndings endings, Placer placer) {
		this.context = context;
		this.flow = flow;
		this.endings = endings;
		this.placer = placer;
	}

	/**
	 * Carries over what runs on a server that leaves.
	 * @param entry the server
	 */
	void serverLeaves(ServerEntry entry) {
		List.copyOf(entry.attempts).forEach(this::begin);
	}

	/**
	 * Starts to carry a generation over if its server leaves and it can be carried.
	 * @param attempt the attempt that runs it
	 */
	void begin(ServerAttempt attempt) {
		Call call = attempt.call;
		boolean movable = call.route.kind().streamed() && call.service.engine().map(EngineSpec::moves).orElse(false);
		if (!movable || call.finished || call.attempt != attempt || under(call)) {
			return;
		}
		call.carryOver = new CarryOver(attempt, this.context.time.nowMillis());
		copy(call);
	}

	private boolean under(Call call) {
		return call.carryOver != null && call.carryOver.stage != CarryOver.Stage.CONTINUED
				&& call.carryOver.stage != CarryOver.Stage.GIVEN_UP;
	}

	private void copy(Call call) {
		CarryOver carry = call.carryOver;
		if (call.finished || call.attempt != carry.source) {
			carry.stage = CarryOver.Stage.GIVEN_UP;
			return;
		}
		Optional<ServerEntry> target = this.placer.chooseTarget(call.service, call.promisedTokens, carry.source.entry,
				carry.refusedBy);
		if (target.isEmpty()) {
			// Room may come while the source still runs; those that refused may have it
			// by then.
			carry.refusedBy.clear();
			this.context.time.after(NO_TARGET_RETRY_MILLIS, () -> copy(call));
			return;
		}
		carry.reserve(target.get(), call.promisedTokens);
		carry.stage = CarryOver.Stage.COPYING;
		move(call, false);
	}

	private void move(Call call, boolean last) {
		CarryOver carry = call.carryOver;
		long started = this.context.time.nowMillis();
		this.context.client.call(carry.source.entry.listing.address(),
				this.context.servers.move(call.id(), carry.target.listing.address(), last), COPY_TIMEOUT_MILLIS,
				(result) -> moved(call, carry, last, result, started));
	}

	private void moved(Call call, CarryOver carry, boolean last, TextResult text, long started) {
		MoveResult result = this.context.servers.moved(text);
		this.context.log.request(call.id(), last ? "last part copied" : "memory copied",
				Map.of("result", String.valueOf(result), "source", carry.source.entry.listing.id(), "target",
						carry.target.listing.id(), "millis", this.context.time.nowMillis() - started));
		if (call.finished || call.carryOver != carry || carry.stage == CarryOver.Stage.CONTINUED) {
			return;
		}
		if (result instanceof MoveResult.Copied copy) {
			carry.handle = copy.handle();
			carry.copied = true;
			if (last) {
				carry.stage = CarryOver.Stage.CONTINUED;
				afterSourceEnds(call);
			}
			else if (call.attempt == carry.source) {
				copyLastOrGoOn(call, carry, this.context.time.nowMillis() - started);
			}
			return;
		}
		if (result instanceof MoveResult.Unknown && call.attempt == carry.source) {
			// The engine has not started the request; there is nothing to copy yet.
			carry.release();
			carry.stage = CarryOver.Stage.WAITING;
			this.context.time.after(NOT_STARTED_RETRY_MILLIS, () -> copy(call));
			return;
		}
		if (carry.copied) {
			continueFromCopy(call, carry);
			return;
		}
		notCopied(call, carry, last);
	}

	// Copies of other generations queue on the same link, so a short copy shows that the
	// last one will be short as well. Where they queue the target goes on from the copy
	// it
	// has and reads the few tokens made since; another copy would wait behind the others.
	private void copyLastOrGoOn(Call call, CarryOver carry, long copyMillis) {
		long gapMillis = call.route.targetGapMillis();
		if (gapMillis == 0 || copyMillis <= LAST_COPY_SHARE_OF_GAP * gapMillis) {
			carry.stage = CarryOver.Stage.STOPPING;
			move(call, true);
		}
		else {
			switchOver(call, carry);
		}
	}

	// Leaves the source without a last copy.
	private void switchOver(Call call, CarryOver carry) {
		if (call.finished || call.attempt != carry.source) {
			return;
		}
		carry.stage = CarryOver.Stage.CONTINUED;
		carry.source.cancel();
		this.endings.detach(carry.source);
		goOn(call);
	}

	private void continueFromCopy(Call call, CarryOver carry) {
		if (carry.sourceEnded) {
			goOn(call);
		}
		else {
			switchOver(call, carry);
		}
	}

	private void notCopied(Call call, CarryOver carry, boolean last) {
		carry.release();
		carry.refusedBy.add(carry.target.listing.id());
		if (last || call.attempt != carry.source) {
			carry.stage = CarryOver.Stage.GIVEN_UP;
			if (carry.sourceEnded) {
				this.endings.end(call, call.unanswered().without(), "generation stopped but not copied");
			}
			return;
		}
		carry.stage = CarryOver.Stage.WAITING;
		this.context.time.after(RETRY_MILLIS, () -> copy(call));
	}

	private void afterSourceEnds(Call call) {
		CarryOver carry = call.carryOver;
		if (carry.sourceEnded) {
			goOn(call);
			return;
		}
		this.context.time.after(SOURCE_END_MILLIS, () -> {
			if (!call.finished && call.attempt == carry.source) {
				carry.source.cancel();
				this.endings.detach(carry.source);
				goOn(call);
			}
		});
	}

	/**
	 * Takes over a generation whose source has ended or broken.
	 * @param attempt the attempt that broke
	 * @return whether the call goes on here
	 */
	boolean takesOver(ServerAttempt attempt) {
		Call call = attempt.call;
		CarryOver carry = call.carryOver;
		if (carry == null || carry.source != attempt || carry.stage == CarryOver.Stage.GIVEN_UP
				|| carry.stage == CarryOver.Stage.WAITING) {
			return false;
		}
		carry.sourceEnded = true;
		if (carry.stage == CarryOver.Stage.CONTINUED || (carry.stage == CarryOver.Stage.COPYING && carry.copied)) {
			goOn(call);
			return true;
		}
		return carry.stage == CarryOver.Stage.STOPPING;
	}

	private void goOn(Call call) {
		CarryOver carry = call.carryOver;
		if (call.finished || call.attempt != null) {
			return;
		}
		carry.stage = CarryOver.Stage.CONTINUED;
		carry.release();
		this.context.log.request(call.id(), "continued elsewhere",
				Map.of("source", carry.source.entry.listing.id(), "target", carry.target.listing.id(), "last-event",
						call.order.lastId().orElse(""), "millis-since-notice",
						this.context.time.nowMillis() - carry.startedMillis, "millis-since-event",
						(call.lastEventMillis < 0) ? -1 : this.context.time.nowMillis() - call.lastEventMillis));
		this.context.metrics.decision("generation carried over");
		this.flow.send(call, carry.target, carry.continuation(call.order.lastId()));
	}

	/**
	 * A server refused to go on with a generation. It may go on nowhere else, and
	 * starting it anew would run it twice unless its route allows that.
	 * @param attempt the attempt that was refused
	 * @return whether the call has ended
	 */
	boolean continuationRefused(ServerAttempt attempt) {
		Call call = attempt.call;
		if (attempt.head.continuation().isEmpty() || call.route.kind().repeatable()) {
			return false;
		}
		this.endings.end(call, call.unanswered().without(), "continuation refused");
		return true;
	}

	/**
	 * A call has ended; copies of it are no longer needed.
	 * @param call the call
	 */
	void ended(Call call) {
		CarryOver carry = call.carryOver;
		if (carry == null) {
			return;
		}
		carry.release();
		if (carry.copied && carry.stage != CarryOver.Stage.CONTINUED) {
			free(carry);
		}
	}

	// A copy that nobody will use would keep memory and a slot of the target.
	private void free(CarryOver carry) {
		this.context.metrics.decision("copy freed");
		this.context.client.call(carry.source.entry.listing.address(), this.context.servers.release(carry.handle),
				COPY_TIMEOUT_MILLIS, (result) -> this.context.log.change("copy freed",
						Map.of("target", carry.target.listing.id(), "result", String.valueOf(result))));
	}

}
