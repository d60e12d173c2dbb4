package org.skylarkspring.entry.api;

import java.util.List;

import com.google.gson.annotations.SerializedName;

/**
 * Messages of the protocol between entry instances and model engines.
 */
public final class EngineMessages {

	private EngineMessages() {
	}

	/**
	 * Body of a generation request.
	 *
	 * @param prompt text of the prompt
	 * @param maxTokens maximum number of tokens to generate
	 * @param priority scheduling priority, lower values run first
	 * @param prefixHash hash of the prompt prefix that can be cached, 0 for none
	 * @param prefixTokens number of tokens in that prefix
	 */
	public record GenerateRequest(String prompt, @SerializedName("max_tokens") int maxTokens, int priority,
			@SerializedName("prefix_hash") long prefixHash, @SerializedName("prefix_tokens") int prefixTokens) {
	}

	/**
	 * One event of a streamed generation.
	 *
	 * @param generation identifier of the generation
	 * @param offset zero-based position of the token in the generation; in the last
	 * event, the total number of tokens
	 * @param text text of the token, {@code null} in the last event
	 * @param done whether this event ends the generation
	 */
	public record TokenEvent(String generation, int offset, String text, boolean done) {
	}

	/**
	 * A change in the server's prefix cache.
	 *
	 * @param sequence sequence number of the change
	 * @param prefixHash hash of the prefix
	 * @param cached whether the prefix is cached after the change
	 */
	public record CacheEvent(long sequence, @SerializedName("prefix_hash") long prefixHash, boolean cached) {
	}

	/**
	 * Response to a load poll.
	 *
	 * @param incarnation number that increases each time the server restarts
	 * @param reportedAtMillis time of the report on the server's clock, in milliseconds
	 * @param running number of sequences in the running batch
	 * @param waiting number of queued sequences
	 * @param usedBlocks number of memory blocks in use
	 * @param totalBlocks total number of memory blocks
	 * @param blockTokens number of tokens per block
	 * @param stepMillis mean duration of recent decode steps, in milliseconds
	 * @param preemptions number of preemptions since the server started
	 * @param modelVersion loaded model version, {@code null} if none is loaded
	 * @param loading whether the server is loading a model
	 * @param cacheEvents cache changes after the requested sequence number
	 */
	public record LoadResponse(long incarnation, @SerializedName("reported_at_millis") long reportedAtMillis,
			int running, int waiting, @SerializedName("used_blocks") int usedBlocks,
			@SerializedName("total_blocks") int totalBlocks, @SerializedName("block_tokens") int blockTokens,
			@SerializedName("step_millis") double stepMillis, long preemptions,
			@SerializedName("model_version") String modelVersion, boolean loading,
			@SerializedName("cache_events") List<CacheEvent> cacheEvents) {
	}

}
