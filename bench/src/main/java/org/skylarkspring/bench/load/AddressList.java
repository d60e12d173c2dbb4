package org.skylarkspring.bench.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Addresses to send requests to: a comma-separated list, or {@code @FILE} to read the
 * list from a file. The file is read again for each request, so that the list can change
 * during a run like the member list of a load balancer.
 */
final class AddressList {

	private final String specification;

	AddressList(String specification) {
		this.specification = specification;
	}

	String addressFor(int requestNumber) {
		List<String> addresses = List.of(currentAddresses().split(","));
		return addresses.get(Math.floorMod(requestNumber, addresses.size()));
	}

	private String currentAddresses() {
		if (!this.specification.startsWith("@")) {
			return this.specification;
		}
		try {
			return Files.readString(Path.of(this.specification.substring(1))).strip();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
