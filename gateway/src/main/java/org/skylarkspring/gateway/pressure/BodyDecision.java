package org.skylarkspring.gateway.pressure;

/**
 * Whether a server may take the body of a request.
 */
public sealed interface BodyDecision {

	/** The server may take it. */
	record Allowed() implements BodyDecision {
	}

	/**
	 * The server would hold too many bytes of bodies.
	 *
	 * @param heldBytes bytes of the bodies that it holds for all instances
	 * @param bodyBytes size of the body
	 * @param boundBytes bound of the bytes that it may hold
	 */
	record Exceeded(long heldBytes, long bodyBytes, long boundBytes) implements BodyDecision {

		@Override
		public String toString() {
			return "server holds " + this.heldBytes + " bytes of bodies, with another " + this.bodyBytes + " more than "
					+ this.boundBytes;
		}

	}

}
