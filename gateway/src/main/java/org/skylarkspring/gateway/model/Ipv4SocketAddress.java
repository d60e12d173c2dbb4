package org.skylarkspring.gateway.model;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Syntax of the addresses that a connection can be opened to without a name lookup, which
 * would block the I/O thread. <pre class="code">
 * Ipv4SocketAddress.isValid("10.0.0.1:8080") // true
 * </pre>
 */
public final class Ipv4SocketAddress {

	private static final String OCTET = "(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";

	private static final Pattern ADDRESS = Pattern.compile(OCTET + "(?:\\." + OCTET + "){3}:([1-9]\\d{0,4})");

	private static final int MAXIMUM_PORT = 65_535;

	private Ipv4SocketAddress() {
	}

	/**
	 * Returns whether a text is an IPv4 address and a port, separated by a colon.
	 * @param text the text
	 * @return {@code false} if it has another form or a part of it is out of range
	 */
	public static boolean isValid(String text) {
		Matcher matcher = ADDRESS.matcher(text);
		return matcher.matches() && Integer.parseInt(matcher.group(1)) <= MAXIMUM_PORT;
	}

}
