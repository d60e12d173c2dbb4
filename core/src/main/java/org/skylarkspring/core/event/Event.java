package org.skylarkspring.core.event;

import java.util.List;

import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.model.AttemptResult;
import org.skylarkspring.core.model.DrainDirective;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.LoadReport;
import org.skylarkspring.core.model.RequestSpec;
import org.skylarkspring.core.model.StoreResponse;
import org.skylarkspring.core.model.WarmupRecord;

/**
 * An event passed to the decision core. Each type is passed to the method of
 * {@link EventHandler} with the same name.
 */
public sealed interface Event {

	/**
	 * Calls the handler method for the type of this event.
	 * @param handler the handler, not {@code null}
	 */
	void accept(EventHandler handler);

	/**
	 * A request from a caller has been read completely.
	 *
	 * @param requestId number of the request, unique within the instance
	 * @param spec the properties of the request
	 */
	record RequestArrived(long requestId, RequestSpec spec) implements Event {

		@Override
		public void accept(EventHandler handler) {
			handler.requestArrived(this);
		}

	}

	/**
	 * The caller of a request has disconnected.
	 *
	 * @param requestId number of the request
	 */
	record CallerDisconnected(long requestId) implements Event {

		@Override
		public void accept(EventHandler handler) {
			handler.callerDisconnected(this);
		}

	}

	/**
	 * Tokens of an attempt have been received.
	 *
	 * @param attemptId number of the attempt
	 * @param outputTokens number of tokens of the generation received so far, including
	 * those received before the generation was resumed
	 */
	record TokensReceived(long attemptId, int outputTokens) implements Event {

		@Override
		public void accept(EventHandler handler) {
			handler.tokensReceived(this);
		}

	}

	/**
	 * An attempt has ended.
	 *
	 * @param attemptId number of the attempt
	 * @param result result of the attempt
	 */
	record AttemptEnded(long attemptId, AttemptResult result) implements Event {

		@Override
		public void accept(EventHandler handler) {
			handler.attemptEnded(this);
		}

	}

	/**
	 * A backend server has reported its load.
	 *
	 * @param report the report
	 */
	record LoadReported(LoadReport report) implements Event {

		@Override
		public void accept(EventHandler handler) {
			handler.loadReported(this);
		}

	}

	/**
	 * A backend server has added a prefix to its cache or evicted it.
	 *
	 * @param serverId name of the server
	 * @param sequence sequence number of the change; a gap means that changes were lost
	 * @param prefixHash hash of the prefix
	 * @param cached whether the prefix is in the cache after the change
	 */
	record CacheChanged(String serverId, long sequence, long prefixHash, boolean cached) implements Event {

		@Override
		public void accept(EventHandler handler) {
			handler.cacheChanged(this);
		}

	}

	/**
	 * A configuration was read from the platform or from a peer.
	 *
	 * @param configuration the configuration
	 */
	record ConfigurationReceived(Configuration configuration) implements Event {

		@Override
		public void accept(EventHandler handler) {
			handler.configurationReceived(this);
		}

	}

	/**
	 * The platform's instance list was read.
	 *
	 * @param instances all entries of the list
	 */
	record InstancesListed(List<InstanceRecord> instances) implements Event {

		@Override
		public void accept(EventHandler handler) {
			handler.instancesListed(this);
		}

	}

	/**
	 * Drain directives were received from an operator, the platform or a peer.
	 *
	 * @param directives the directives
	 */
	record DrainDirectivesReceived(List<DrainDirective> directives) implements Event {

		@Override
		public void accept(EventHandler handler) {
			handler.drainDirectivesReceived(this);
		}

	}

	/**
	 * Warm-up records were received from a peer.
	 *
	 * @param records the records
	 */
	record WarmupRecordsReceived(List<WarmupRecord> records) implements Event {

		@Override
		public void accept(EventHandler handler) {
			handler.warmupRecordsReceived(this);
		}

	}

	/**
	 * The platform's store has responded to an operation, or the operation has failed.
	 *
	 * @param operationId number of the operation, as given in the action
	 * @param response response or failure of the operation
	 */
	record StoreResponseReceived(long operationId, StoreResponse response) implements Event {

		@Override
		public void accept(EventHandler handler) {
			handler.storeResponseReceived(this);
		}

	}

	/** The instance was requested to shut down. */
	record ShutdownRequested() implements Event {

		@Override
		public void accept(EventHandler handler) {
			handler.shutdownRequested(this);
		}

	}

}
