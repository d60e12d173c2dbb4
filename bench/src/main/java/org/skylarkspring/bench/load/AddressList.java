package org.skylarkspring.bench.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Addresses of entry instances: a comma-separated list, or {@code @FILE} to read the list
 * again for each request, as a balancer follows its members.
 */
final class AddressList {

	private final String specification;

	AddressList(String specification) {
		this.specification = specification;
	}

	String addressFor(int number) {
		List<String> addresses = List.of(currentAddresses().split(","));
		return addresses.get(Math.floorMod(number, addresses.size()));
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
