package org.skylarkspring.bench.standin;

import java.io.IOException;

import org.skylarkspring.bench.model.EngineProfile;

/**
 * Starts one stand-in as a process: {@code object-api ADDRESS}, {@code plain ADDRESS},
 * {@code engine SERVER-ID ADDRESS [warm|cold] [fenced|unfenced]} or
 * {@code link PORT TARGET-PORT}.
 */
public final class StandInMain {

	private StandInMain() {
	}

	/**
	 * Starts the stand-in and returns; the process goes on until it is killed.
	 * @param arguments kind, names and address
	 * @throws IOException if an address cannot be bound
	 */
	public static void main(String[] arguments) throws IOException {
		switch (arguments[0]) {
			case "object-api" -> ObjectApiStandIn.start(arguments[1]);
			case "plain" -> PlainServiceStandIn.start(arguments[1]);
			case "engine" -> EngineStandIn.start(arguments[1], arguments[2], EngineProfile.standard(),
					isFlagSet(arguments, 3, "warm"), isFlagSet(arguments, 4, "fenced"));
			case "link" -> LinkStandIn.run(Integer.parseInt(arguments[1]), Integer.parseInt(arguments[2]));
			default -> throw new IllegalArgumentException("unknown stand-in: " + arguments[0]);
		}
	}

	private static boolean isFlagSet(String[] arguments, int index, String set) {
		return arguments.length <= index || arguments[index].equals(set);
	}

}
