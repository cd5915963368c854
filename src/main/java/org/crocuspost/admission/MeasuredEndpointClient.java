package org.crocuspost.admission;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.http.HttpRequest;
import org.crocuspost.http.HttpResponse;
import org.crocuspost.time.Clock;

/**
 * Endpoint client that reports the latency of each answer to a listener.
 */
public final class MeasuredEndpointClient implements EndpointClient {

	private final EndpointClient client;

	private final Clock clock;

	private final LatencyListener listener;

	/**
	 * Creates the client.
	 * @param client the client that sends the requests
	 * @param clock the clock of the process
	 * @param listener receives the latency of each answer
	 */
	public MeasuredEndpointClient(EndpointClient client, Clock clock, LatencyListener listener) {
		this.client = client;
		this.clock = clock;
		this.listener = listener;
	}

	@Override
	public CompletionStage<Either<Failure, HttpResponse>> exchange(String requestId, HttpRequest call,
			Duration timeout) {
		long start = this.clock.nanoTime();
		return this.client.exchange(requestId, call, timeout).thenApply((answer) -> {
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
