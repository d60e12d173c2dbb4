package org.skylarkspring.gateway.http;

/**
 * What is known of a call that failed.
 */
public enum DeliveryStatus {

	/** No byte of the call left this process. */
	NOT_SENT,

	/** The call may have been received and acted on. */
	UNKNOWN

}
