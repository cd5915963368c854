package org.crocuspost.gate;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.http.HttpAnswer;
import org.crocuspost.http.HttpCall;
import org.crocuspost.time.Clock;

/**
 * Endpoint client that tells a listener how long each answer took.
 */
public final class MeasuredEndpointClient implements EndpointClient {

	private final EndpointClient client;

	private final Clock clock;

	private final LatencyListener listener;

	/**
	 * Creates the client.
	 * @param client sends the requests
	 * @param clock measures the time
	 * @param listener is told the time of each answer
	 */
	public MeasuredEndpointClient(EndpointClient client, Clock clock, LatencyListener listener) {
		this.client = client;
		this.clock = clock;
		this.listener = listener;
	}

	@Override
	public CompletionStage<Either<Failure, HttpAnswer>> exchange(String requestId, HttpCall call, Duration limit) {
		long start = this.clock.nanoTime();
		return this.client.exchange(requestId, call, limit).thenApply((answer) -> {
			if (answer.isRight()) {
				this.listener.answered(Duration.ofNanos(this.clock.nanoTime() - start));
			}
			return answer;
		});
	}

	@Override
	public void renewConnections() {
		this.client.renewConnections();
	}

	@Override
	public void close() {
		this.client.close();
	}

}
