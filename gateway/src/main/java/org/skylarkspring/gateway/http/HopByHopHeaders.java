package org.skylarkspring.gateway.http;

import java.util.List;
import java.util.Locale;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

/**
 * HTTP headers that apply to a single connection and must not be forwarded.
 */
public final class HopByHopHeaders {

	private static final List<HttpString> HOP_BY_HOP_HEADERS = List.of(Headers.CONNECTION, new HttpString("Keep-Alive"),
			new HttpString("Proxy-Connection"), Headers.TE, Headers.TRAILER, Headers.TRANSFER_ENCODING, Headers.UPGRADE,
			Headers.EXPECT);

	private HopByHopHeaders() {
	}

	/**
	 * Removes all hop-by-hop headers, including those listed in the {@code Connection}
	 * header.
	 * @param headers the headers to modify
	 */
	public static void removeFrom(HeaderMap headers) {
		HeaderValues named = headers.get(Headers.CONNECTION);
		if (named != null) {
			List.copyOf(named)
				.stream()
				.flatMap((value) -> List.of(value.split(",")).stream())
				.map((name) -> name.trim().toLowerCase(Locale.ROOT))
				.filter((name) -> !name.isEmpty())
				.forEach(headers::remove);
		}
		HOP_BY_HOP_HEADERS.forEach(headers::remove);
	}

}
