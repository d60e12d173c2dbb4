package org.skylarkspring.entry.api;

import java.util.List;

import com.google.gson.annotations.SerializedName;

/**
 * Messages of the model engines' protocol.
 */
public final class EngineMessages {

	private EngineMessages() {
	}

	/**
	 * Body of a generation call.
	 *
	 * @param prompt the prompt
	 * @param maxTokens limit of the answer
	 * @param priority priority, lower values run first
	 * @param prefixHash hash of the reusable prefix, 0 for none
	 * @param prefixTokens tokens of the reusable prefix
	 */
	public record GenerateRequest(String prompt, @SerializedName("max_tokens") int maxTokens, int priority,
			@SerializedName("prefix_hash") long prefixHash, @SerializedName("prefix_tokens") int prefixTokens) {
	}

	/**
	 * One streamed event.
	 *
	 * @param generation name of the generation
	 * @param offset offset of the token
	 * @param text text of the token, {@code null} in the last event
	 * @param done whether the generation has ended
	 */
	public record TokenEvent(String generation, int offset, String text, boolean done) {
	}

	/**
	 * A change of the prefix cache.
	 *
	 * @param sequence number of the change
	 * @param prefixHash hash of the prefix
	 * @param cached whether the prefix is cached after the change
	 */
	public record CacheEvent(long sequence, @SerializedName("prefix_hash") long prefixHash, boolean cached) {
	}

	/**
	 * Answer to a load poll.
	 *
	 * @param incarnation number that rises when the server restarts
	 * @param reportedAtMillis time of the readings on the server's clock
	 * @param running sequences in the batch
	 * @param waiting sequences queued
	 * @param usedBlocks memory blocks in use
	 * @param totalBlocks memory blocks in total
	 * @param blockTokens tokens of one block
	 * @param stepMillis mean duration of a recent decode step
	 * @param preemptions preemptions since start
	 * @param modelVersion version loaded, {@code null} if the server has none
	 * @param loading whether the server is loading a model
	 * @param cacheEvents changes after the sequence asked for
	 */
	public record LoadResponse(long incarnation, @SerializedName("reported_at_millis") long reportedAtMillis,
			int running, int waiting, @SerializedName("used_blocks") int usedBlocks,
			@SerializedName("total_blocks") int totalBlocks, @SerializedName("block_tokens") int blockTokens,
			@SerializedName("step_millis") double stepMillis, long preemptions,
			@SerializedName("model_version") String modelVersion, boolean loading,
			@SerializedName("cache_events") List<CacheEvent> cacheEvents) {
	}

}
