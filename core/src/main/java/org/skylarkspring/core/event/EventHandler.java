package org.skylarkspring.core.event;

/**
 * Handles the events of the decision core, with one method for each event type.
 */
public interface EventHandler {

	/**
	 * Handles a new request.
	 * @param event the event
	 */
	void requestArrived(Event.RequestArrived event);

	/**
	 * Handles the disconnection of a caller.
	 * @param event the event
	 */
	void callerDisconnected(Event.CallerDisconnected event);

	/**
	 * Handles the progress of an attempt.
	 * @param event the event
	 */
	void tokensReceived(Event.TokensReceived event);

	/**
	 * Handles the end of an attempt.
	 * @param event the event
	 */
	void attemptEnded(Event.AttemptEnded event);

	/**
	 * Handles a load report.
	 * @param event the event
	 */
	void loadReported(Event.LoadReported event);

	/**
	 * Handles a change of a prefix cache.
	 * @param event the event
	 */
	void cacheChanged(Event.CacheChanged event);

	/**
	 * Handles a received configuration.
	 * @param event the event
	 */
	void configurationReceived(Event.ConfigurationReceived event);

	/**
	 * Handles the platform's instance list.
	 * @param event the event
	 */
	void instancesListed(Event.InstancesListed event);

	/**
	 * Handles received drain directives.
	 * @param event the event
	 */
	void drainDirectivesReceived(Event.DrainDirectivesReceived event);

	/**
	 * Handles received warm-up records.
	 * @param event the event
	 */
	void warmupRecordsReceived(Event.WarmupRecordsReceived event);

	/**
	 * Handles a response of the platform's store.
	 * @param event the event
	 */
	void storeResponseReceived(Event.StoreResponseReceived event);

	/**
	 * Handles a shutdown request.
	 * @param event the event
	 */
	void shutdownRequested(Event.ShutdownRequested event);

}
