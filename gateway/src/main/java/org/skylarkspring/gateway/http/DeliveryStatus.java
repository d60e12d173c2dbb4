package org.skylarkspring.gateway.http;

/**
 * Whether a failed call may have reached the server.
 */
public enum DeliveryStatus {

	/** No byte of the call left this process. */
	NOT_SENT,

	/** The server may have received and executed the call. */
	UNKNOWN

}
