package org.skylarkspring.bench.standin;

import java.io.IOException;

import org.skylarkspring.bench.model.EngineProfile;

/**
 * Starts one stand-in in its own process. The arguments are {@code object-api ADDRESS},
 * {@code plain ADDRESS}, {@code engine SERVER-ID ADDRESS [warm|cold] [fenced|unfenced]}
 * or {@code link PORT TARGET-PORT}. The defaults of an engine are {@code warm} and
 * {@code fenced}; a fenced engine rejects orders with an outdated fencing number.
 */
public final class StandInMain {

	private StandInMain() {
	}

	/**
	 * Starts the stand-in, which runs until the process is killed.
	 * @param arguments kind of the stand-in, followed by its arguments
	 * @throws IOException if an address cannot be bound
	 */
	public static void main(String[] arguments) throws IOException {
		switch (arguments[0]) {
			case "object-api" -> ObjectApiStandIn.start(arguments[1]);
			case "plain" -> PlainServiceStandIn.start(arguments[1]);
			case "engine" -> EngineStandIn.start(arguments[1], arguments[2], EngineProfile.standard(),
					isAbsentOrEqual(arguments, 3, "warm"), isAbsentOrEqual(arguments, 4, "fenced"));
			case "link" -> LinkStandIn.run(Integer.parseInt(arguments[1]), Integer.parseInt(arguments[2]));
			default -> throw new IllegalArgumentException(
					"unknown stand-in '" + arguments[0] + "'; expected object-api, plain, engine or link");
		}
	}

	private static boolean isAbsentOrEqual(String[] arguments, int index, String expectedValue) {
		return arguments.length <= index || arguments[index].equals(expectedValue);
	}

}
