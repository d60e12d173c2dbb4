package org.skylarkspring.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.skylarkspring.core.config.ConfigurationFile;

/**
 * Reads the configuration files below a folder, which are all files whose name ends with
 * {@code skylarkspring.json}.
 */
final class ConfigurationFiles {

	private static final String FILE_NAME_SUFFIX = "skylarkspring.json";

	private ConfigurationFiles() {
	}

	static List<ConfigurationFile> read(Path root) throws IOException {
		try (Stream<Path> paths = Files.walk(root)) {
			List<Path> files = paths.filter((path) -> path.getFileName().toString().endsWith(FILE_NAME_SUFFIX))
				.sorted()
				.toList();
			if (files.isEmpty()) {
				throw new IOException("no file named *" + FILE_NAME_SUFFIX + " below " + root);
			}
			return files.stream().map((path) -> readFile(root, path)).toList();
		}
	}

	private static ConfigurationFile readFile(Path root, Path path) {
		try {
			return new ConfigurationFile(root.relativize(path).toString(), Files.readString(path));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
