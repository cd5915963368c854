package org.crocuspost.platform.http;

import java.net.ConnectException;
import java.net.URI;
import java.net.UnknownHostException;
import java.nio.channels.UnresolvedAddressException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;
import ratpack.func.Action;
import ratpack.http.MutableHeaders;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;

/**
 * HTTP client whose calls block the calling thread until the answer is complete or the
 * time limit has passed. Safe for use by several threads; not to be called on a network
 * thread.
 */
public final class BlockingHttpClient implements AutoCloseable {

	private static final int THREADS = 1;

	private final HttpLimits limits;

	private final ExecController controller;

	private final HttpClient client;

	/**
	 * Creates a client with its own network thread.
	 * @param limits the limits of each call
	 */
	public BlockingHttpClient(HttpLimits limits) {
		this.limits = limits;
		this.controller = new DefaultExecController(THREADS);
		this.client = open(limits, this.controller);
	}

	private static HttpClient open(HttpLimits limits, ExecController controller) {
		try {
			return HttpClient.of((spec) -> spec.execController(controller)
				.poolSize(limits.connections())
				.connectTimeout(limits.connectTimeout())
				.readTimeout(limits.callTimeout())
				.maxContentLength(limits.maximumBodyBytes()));
		}
		catch (Exception ex) {
			throw new IllegalStateException("the HTTP client cannot be created", ex);
		}
	}

	/**
	 * Makes a call and waits for its end. Never throws.
	 * @param method the method
	 * @param uri the address
	 * @param body the body
	 * @param contentType the type of the body
	 * @return how the call ended
	 */
	public HttpOutcome call(String method, URI uri, byte[] body, String contentType) {
		return call(method, uri, body, contentType, (headers) -> {
		});
	}

	/**
	 * Makes a call with further headers and waits for its end. Never throws.
	 * @param method the method
	 * @param uri the address
	 * @param body the body
	 * @param contentType the type of the body
	 * @param headers sets the further headers
	 * @return how the call ended
	 */
	public HttpOutcome call(String method, URI uri, byte[] body, String contentType,
			Action<? super MutableHeaders> headers) {
		CompletableFuture<HttpOutcome> outcome = new CompletableFuture<>();
		try {
			this.controller.fork()
				.onError((error) -> outcome.complete(failed(error)))
				.start((execution) -> this.client
					.request(uri, (spec) -> prepare(spec.headers(headers), method, body, contentType))
					.then((response) -> outcome.complete(answered(response))));
		}
		catch (RejectedExecutionException ex) {
			return new HttpOutcome.NeverSent("the client is closed");
		}
		return await(outcome);
	}

	private static void prepare(RequestSpec spec, String method, byte[] body, String contentType) throws Exception {
		spec.method(method).redirects(0);
		if (body.length > 0) {
			spec.body((content) -> content.type(contentType).bytes(body));
		}
	}

	private static HttpOutcome answered(ReceivedResponse response) {
		return new HttpOutcome.Answered(response.getStatusCode(), response.getBody().getBytes());
	}

	private static HttpOutcome failed(Throwable error) {
		String reason = String.valueOf(error.getMessage());
		return connectFailed(error) ? new HttpOutcome.NeverSent(reason) : new HttpOutcome.Unanswered(reason);
	}

	private static boolean connectFailed(Throwable error) {
		return error instanceof ConnectException || error instanceof UnknownHostException
				|| error instanceof UnresolvedAddressException;
	}

	private HttpOutcome await(CompletableFuture<HttpOutcome> outcome) {
		try {
			return outcome.get(this.limits.callTimeout().toNanos(), TimeUnit.NANOSECONDS);
		}
		catch (TimeoutException ex) {
			return new HttpOutcome.Unanswered("no answer within " + this.limits.callTimeout());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new HttpOutcome.Unanswered("the caller was interrupted");
		}
		catch (ExecutionException ex) {
			return new HttpOutcome.Unanswered(String.valueOf(ex.getMessage()));
		}
	}

	@Override
	public void close() {
		this.client.close();
		this.controller.close();
	}

}
