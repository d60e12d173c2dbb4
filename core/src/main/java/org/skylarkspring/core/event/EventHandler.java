package org.skylarkspring.core.event;

/**
 * Receives events by their type.
 */
public interface EventHandler {

	/**
	 * Handles a new request.
	 * @param event the event
	 */
	void requestArrived(Event.RequestArrived event);

	/**
	 * Handles a caller that has gone.
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
	 * Handles a configuration.
	 * @param event the event
	 */
	void configurationReceived(Event.ConfigurationReceived event);

	/**
	 * Handles the list of instances.
	 * @param event the event
	 */
	void instancesListed(Event.InstancesListed event);

	/**
	 * Handles directives.
	 * @param event the event
	 */
	void drainDirectivesReceived(Event.DrainDirectivesReceived event);

	/**
	 * Handles warm-up records.
	 * @param event the event
	 */
	void warmupRecordsReceived(Event.WarmupRecordsReceived event);

	/**
	 * Handles an answer of the store.
	 * @param event the event
	 */
	void storeResponseReceived(Event.StoreResponseReceived event);

	/**
	 * Handles the order to shut down.
	 * @param event the event
	 */
	void shutdownRequested(Event.ShutdownRequested event);

}
