package org.skylarkspring.entry.internal;

import java.util.List;
import java.util.stream.IntStream;

import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;

import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.model.DrainDirective;

/**
 * Operations on a {@link ControlState} that the Lincheck model checker runs concurrently.
 */
@Param(name = "revision", gen = IntGen.class, conf = "1:4")
public class ControlStateOperations {

	private static final List<ShardedConfiguration> CONFIGURATIONS_BY_REVISION = IntStream.range(0, 5)
		.mapToObj((revision) -> ShardedConfiguration
			.split(new Configuration(revision, "p", List.of(), List.of(), List.of(), List.of())))
		.toList();

	private final ControlState state = new ControlState((event) -> {
	}, new ServiceDirectory());

	/**
	 * Applies a configuration if it is newer than the current one.
	 * @param revision revision of the configuration
	 * @return whether the configuration was applied
	 */
	@Operation
	public boolean applyIfNewer(int revision) {
		return this.state.applyIfNewer(CONFIGURATIONS_BY_REVISION.get(revision));
	}

	/**
	 * Returns the current configuration revision.
	 * @return the revision
	 */
	@Operation
	public long revision() {
		return this.state.revision();
	}

	/**
	 * Issues a drain directive.
	 * @return the logical timestamp of the directive
	 */
	@Operation
	public long issueDrainDirective() {
		return this.state.issueDrainDirective(DrainDirective.TargetKind.SERVER, "s", true, "entry-1").counter();
	}

}
