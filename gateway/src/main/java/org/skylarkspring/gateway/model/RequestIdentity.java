package org.skylarkspring.gateway.model;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;

/**
 * What makes two requests the same, whoever receives them and whatever their ids are.
 *
 * @param host host that the request names
 * @param method HTTP method
 * @param target path and query
 * @param workspace workspace of the caller, empty if anonymous
 * @param promptPartIds ids of the parts of the prompt in order, empty for none
 */
public record RequestIdentity(String host, String method, String target, String workspace, List<String> promptPartIds) {

	/** Start of all keys, which no id of a part of a prompt has. */
	static final String KEY_PREFIX = "request-";

	private static final int KEY_BYTES = 16;

	/** Number of characters of a key. */
	static final int KEY_LENGTH = KEY_PREFIX.length() + 2 * KEY_BYTES;

	/**
	 * Returns the keys under which the request is known. Different prompts may come with
	 * the same body, and the last part of a prompt may differ between repeats, hence one
	 * key without and one with that part.
	 * @param body body of the request
	 * @return one key for a request without a prompt, otherwise two
	 */
	public List<String> keys(byte[] body) {
		MessageDigest digest = newDigest();
		update(digest, this.host);
		update(digest, this.method);
		update(digest, this.target);
		update(digest, this.workspace);
		int sharedParts = Math.max(0, this.promptPartIds.size() - 1);
		this.promptPartIds.stream().limit(sharedParts).forEach((partId) -> update(digest, partId));
		byte[] withoutLastPart = digest.digest(body);
		if (this.promptPartIds.isEmpty()) {
			return List.of(format(withoutLastPart));
		}
		digest.update(withoutLastPart);
		update(digest, this.promptPartIds.get(sharedParts));
		return List.of(format(withoutLastPart), format(digest.digest()));
	}

	/**
	 * Returns whether a text is a key of a request.
	 * @param text a key or the id of a part of a prompt
	 * @return {@code false} for the id of a part
	 */
	public static boolean isRequestKey(String text) {
		return text.startsWith(KEY_PREFIX);
	}

	// The length separates texts that follow each other.
	private static void update(MessageDigest digest, String text) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
		digest.update(bytes);
	}

	private static String format(byte[] digest) {
		return KEY_PREFIX + HexFormat.of().formatHex(Arrays.copyOf(digest, KEY_BYTES));
	}

	private static MessageDigest newDigest() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform provides SHA-256", ex);
		}
	}

}
