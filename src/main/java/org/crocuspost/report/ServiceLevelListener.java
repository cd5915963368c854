package org.crocuspost.report;

import java.time.Duration;

import org.crocuspost.entry.RequestListener;
import org.crocuspost.retry.RequestOutcome;

/**
 * Records the requests of an entry. A request was available if its caller got an answer
 * of the endpoint that reports no fault of the server.
 */
public final class ServiceLevelListener implements RequestListener {

	private final ServiceLevelRecorder recorder;

	/**
	 * Creates the listener.
	 * @param recorder counts the requests
	 */
	public ServiceLevelListener(ServiceLevelRecorder recorder) {
		this.recorder = recorder;
	}

	@Override
	public void requestEnded(String service, RequestOutcome outcome, Duration latency) {
		boolean available = outcome instanceof RequestOutcome.Answered answered && !answered.answer().isServerError();
		this.recorder.record(service, available, latency);
	}

}
