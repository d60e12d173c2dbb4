package org.skylarkspring.gateway.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * Table with a maximum number of entries, of which the least recently used one is
 * removed.
 *
 * @param <K> the type of the keys
 * @param <V> the type of the values
 */
final class BoundedTable<K, V> {

	private static final float LOAD_FACTOR = 0.75f;

	private final Map<K, V> entries;

	BoundedTable(int maximumSize) {
		this.entries = new LinkedHashMap<>(maximumSize, LOAD_FACTOR, true) {

			@Override
			protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
				return size() > maximumSize;
			}

		};
	}

	Optional<V> find(K key) {
		return Optional.ofNullable(this.entries.get(key));
	}

	V findOrCreate(K key, Supplier<V> created) {
		return this.entries.computeIfAbsent(key, (absent) -> created.get());
	}

	Stream<Map.Entry<K, V>> entries() {
		return this.entries.entrySet().stream();
	}

	int size() {
		return this.entries.size();
	}

}
