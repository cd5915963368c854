package org.crocuspost.admission;

import java.net.ConnectException;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;

import com.google.protobuf.ByteString;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.http.ForwardedHeaders;
import org.crocuspost.http.HeaderNames;
import org.crocuspost.http.HttpHeader;
import org.crocuspost.http.HttpRequest;
import org.crocuspost.http.HttpResponse;
import ratpack.exec.ExecController;
import ratpack.http.client.HttpClient;
import ratpack.http.client.HttpClientReadTimeoutException;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;

/**
 * Endpoint client that uses Ratpack's HTTP client. Each event loop of Ratpack has its own
 * pool, so the connections are divided evenly among the loops.
 */
public final class RatpackEndpointClient implements EndpointClient {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

	private final AdmissionSettings settings;

	private final ExecController controller;

	private final AtomicReference<RetirableConnectionPool> pool;

	/**
	 * Creates a client.
	 * @param settings the admission control settings of the endpoint
	 * @param controller runs the exchanges and must be closed by the caller
	 */
	public RatpackEndpointClient(AdmissionSettings settings, ExecController controller) {
		this.settings = settings;
		this.controller = controller;
		this.pool = new AtomicReference<>(newPool());
	}

	private RetirableConnectionPool newPool() {
		return new RetirableConnectionPool(newClient(), this.controller.getBlockingExecutor());
	}

	private HttpClient newClient() {
		int poolSize = Math.max(1, this.settings.connections() / this.controller.getNumThreads());
		try {
			return HttpClient.of((spec) -> spec.execController(this.controller)
				.poolSize(poolSize)
				.poolQueueSize(this.settings.slots())
				.idleTimeout(IDLE_TIMEOUT)
				.connectTimeout(CONNECT_TIMEOUT)
				.useJdkAddressResolver()
				.maxContentLength(this.settings.limits().maximumBodyBytes()));
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	@Override
	public CompletionStage<Either<Failure, HttpResponse>> exchange(String requestId, HttpRequest call,
			Duration timeout) {
		CompletableFuture<Either<Failure, HttpResponse>> result = new CompletableFuture<>();
		RetirableConnectionPool current = this.pool.get();
		current.acquire();
		result.whenComplete((answer, exception) -> current.release());
		URI uri = this.settings.endpoint().resolve(call.target());
		this.controller.fork()
			.onError((exception) -> result.complete(Either.left(failure(exception))))
			.start((execution) -> current.client()
				.request(uri, (request) -> write(request, requestId, call, timeout))
				.onError((exception) -> result.complete(Either.left(failure(exception))))
				.then((response) -> result.complete(read(requestId, response))));
		return result;
	}

	private static void write(RequestSpec request, String requestId, HttpRequest call, Duration timeout)
			throws Exception {
		request.method(call.method())
			.redirects(0)
			.decompressResponse(false)
			.readTimeout(timeout)
			.connectTimeout(CONNECT_TIMEOUT);
		for (HttpHeader header : call.headers()) {
			request.getHeaders().add(header.name(), header.value());
		}
		request.getHeaders().set(HeaderNames.REQUEST_ID, requestId);
		if (!call.body().isEmpty()) {
			request.getBody().bytes(call.body().toByteArray());
		}
	}

	private Either<Failure, HttpResponse> read(String requestId, ReceivedResponse response) {
		byte[] body = response.getBody().getBytes();
		if (truncated(response, body.length)) {
			return Either.left(ErrorCode.ANSWER_INCOMPLETE.with(this.settings.endpointId()));
		}
		String answeredId = response.getHeaders().get(HeaderNames.REQUEST_ID);
		if (answeredId != null && !answeredId.equals(requestId)) {
			renewConnections();
			return Either.left(ErrorCode.ANSWER_MISMATCHED.with(this.settings.endpointId()));
		}
		return Either.right(new HttpResponse(response.getStatusCode(),
				ForwardedHeaders.select(response.getHeaders().getNettyHeaders()), ByteString.copyFrom(body)));
	}

	private static boolean truncated(ReceivedResponse response, int bodyLength) {
		String declared = response.getHeaders().get(HttpHeaderNames.CONTENT_LENGTH.toString());
		return declared != null && bodyLength > 0 && Long.parseLong(declared) != bodyLength;
	}

	private Failure failure(Throwable exception) {
		String endpointId = this.settings.endpointId();
		if (exception instanceof ConnectException || exception instanceof ConnectTimeoutException) {
			return ErrorCode.ENDPOINT_REFUSED.with(endpointId);
		}
		if (exception instanceof HttpClientReadTimeoutException) {
			renewConnections();
			return ErrorCode.DEADLINE_AFTER_START.with();
		}
		return ErrorCode.CONNECTION_LOST.with(endpointId);
	}

	@Override
	public void renewConnections() {
		this.pool.getAndSet(newPool()).retire();
	}

	@Override
	public void close() {
		this.pool.get().retire();
	}

}
