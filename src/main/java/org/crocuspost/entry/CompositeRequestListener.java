package org.crocuspost.entry;

import java.time.Duration;
import java.util.List;

import org.crocuspost.retry.RequestOutcome;

/**
 * Passes each request to several listeners, in the order of the list.
 */
public final class CompositeRequestListener implements RequestListener {

	private final List<RequestListener> listeners;

	/**
	 * Creates the listener.
	 * @param listeners the listeners to call
	 */
	public CompositeRequestListener(List<RequestListener> listeners) {
		this.listeners = List.copyOf(listeners);
	}

	@Override
	public void requestEnded(String service, RequestOutcome outcome, Duration latency) {
		this.listeners.forEach((listener) -> listener.requestEnded(service, outcome, latency));
	}

	@Override
	public void requestEnded(String requestId, String service, RequestOutcome outcome, Duration latency) {
		this.listeners.forEach((listener) -> listener.requestEnded(requestId, service, outcome, latency));
	}

}
