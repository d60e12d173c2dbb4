import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Record of a run: what was sent, answered and run, with times since its start. */
final class Journal {

	private final long startNanos = System.nanoTime();

	private final List<String> lines = new CopyOnWriteArrayList<>();

	private final Path file;

	Journal(Path file) {
		this.file = file;
	}

	long nowMillis() {
		return (System.nanoTime() - this.startNanos) / 1_000_000;
	}

	void add(String text) {
		this.lines.add(String.format("%8.3f s  %s", nowMillis() / 1000.0, text));
	}

	/** Adds a line that is also printed. */
	void say(String text) {
		add(text);
		System.out.println(text);
	}

	void save() {
		try {
			Files.write(this.file, this.lines);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
