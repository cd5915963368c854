package org.crocuspost.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.vavr.control.Either;
import org.crocuspost.configuration.ConfigurationSource;
import org.crocuspost.configuration.ServiceSpecification;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.http.ForwardedHeaders;
import org.crocuspost.http.HeaderNames;
import org.crocuspost.http.HttpRequest;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.retry.RequestOutcome;
import org.crocuspost.retry.RequestRunner;
import org.crocuspost.retry.RoutedRequest;
import org.crocuspost.time.Clock;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.Headers;
import ratpack.http.Request;

/**
 * Handles a caller's request: finds its service, reads the body, runs the request on an
 * endpoint and writes the outcome as the response.
 */
final class CallerHandler implements Handler {

	private final CallerSettings settings;

	private final BodyReader bodyReader;

	private final ConfigurationSource configurations;

	private final RequestRunner runner;

	private final RequestIdGenerator requestIds;

	private final InFlightRequests inFlight;

	private final RequestListener listener;

	private final Clock clock;

	CallerHandler(CallerSettings settings, ConfigurationSource configurations, RequestRunner runner,
			RequestIdGenerator requestIds, InFlightRequests inFlight, RequestListener listener, Clock clock) {
		this.settings = settings;
		this.bodyReader = new BodyReader(settings.maximumBodyBytes());
		this.configurations = configurations;
		this.runner = runner;
		this.requestIds = requestIds;
		this.inFlight = inFlight;
		this.listener = listener;
		this.clock = clock;
	}

	@Override
	public void handle(Context context) {
		ReceivedRequest received = new ReceivedRequest(context, this.requestIds.next(), this.clock.nanoTime());
		context.getRequest().add(new RequestId(received.requestId()));
		this.inFlight.begin();
		context.onClose((outcome) -> this.inFlight.end());
		if (this.inFlight.draining()) {
			context.getResponse().getHeaders().set(HttpHeaderNames.CONNECTION, "close");
		}
		Request request = context.getRequest();
		Either<Failure, ServiceSpecification> service = findService(request);
		if (service.isLeft()) {
			finish(received, "", RequestOutcome.of(service.getLeft()));
			return;
		}
		this.bodyReader.read(request)
			.then((body) -> body.ifPresentOrElse((content) -> run(received, service.get(), content),
					() -> refuseTooLarge(received, service.get())));
	}

	private void refuseTooLarge(ReceivedRequest received, ServiceSpecification service) {
		Failure failure = ErrorCode.REQUEST_TOO_LARGE.with(this.settings.maximumBodyBytes());
		finish(received, service.name(), RequestOutcome.of(failure));
	}

	private Either<Failure, ServiceSpecification> findService(Request request) {
		String host = parseHost(request.getHeaders());
		String path = "/" + request.getPath();
		Optional<ServiceSpecification> service = this.configurations.current().findService(host, path);
		return service.map(Either::<Failure, ServiceSpecification>right)
			.orElseGet(() -> Either.left(this.configurations.ready() ? ErrorCode.SERVICE_UNKNOWN.with(host, path)
					: ErrorCode.CONFIGURATION_UNREAD.with()));
	}

	private static String parseHost(Headers headers) {
		String host = headers.get(HttpHeaderNames.HOST);
		if (host == null) {
			return "";
		}
		int port = host.lastIndexOf(':');
		return (port > host.lastIndexOf(']')) ? host.substring(0, port) : host;
	}

	private void run(ReceivedRequest received, ServiceSpecification service, ByteString body) {
		Either<Failure, Duration> timeout = parseTimeout(received.request().getHeaders(), service);
		if (timeout.isLeft()) {
			finish(received, service.name(), RequestOutcome.of(timeout.getLeft()));
			return;
		}
		CompletionStage<RequestOutcome> outcome = this.runner
			.run(toRoutedRequest(received, service, body, timeout.get()));
		Promise.<RequestOutcome>async((downstream) -> downstream.accept(outcome))
			.onError((exception) -> finish(received, service.name(),
					RequestOutcome.of(ErrorCode.INTERNAL.with(exception.getMessage()))))
			.then((result) -> finish(received, service.name(), result));
	}

	private Either<Failure, Duration> parseTimeout(Headers headers, ServiceSpecification service) {
		String header = headers.get(HeaderNames.DEADLINE);
		if (header == null) {
			return Either.right(service.timeout());
		}
		try {
			Duration timeout = Duration.ofMillis(Long.parseUnsignedLong(header));
			boolean tooLong = timeout.compareTo(this.settings.maximumTimeout()) > 0;
			return Either.right(tooLong ? this.settings.maximumTimeout() : timeout);
		}
		catch (NumberFormatException ex) {
			return Either.left(ErrorCode.MALFORMED.with(HeaderNames.DEADLINE + " is not a number"));
		}
	}

	private static RoutedRequest toRoutedRequest(ReceivedRequest received, ServiceSpecification service,
			ByteString body, Duration timeout) {
		Request request = received.request();
		HttpRequest call = new HttpRequest(request.getMethod().getName(), request.getRawUri(),
				ForwardedHeaders.select(request.getHeaders().getNettyHeaders()), body);
		String key = request.getHeaders().get(HeaderNames.IDEMPOTENCY_KEY);
		return new RoutedRequest(received.requestId(), service, call, (key != null) ? key : "", timeout,
				received.arrivalNanos() + timeout.toNanos());
	}

	private void finish(ReceivedRequest received, String service, RequestOutcome outcome) {
		ResponseWriter.write(received.context().getResponse(), received.requestId(), outcome);
		if (outcome instanceof RequestOutcome.MayHaveRun mayHaveRun) {
			EventLog.warn(EntryEvent.REQUEST_UNCERTAIN, Field.of("requestId", received.requestId()),
					Field.of("service", service), Field.of("code", mayHaveRun.failure().code().code()));
		}
		Duration latency = Duration.ofNanos(this.clock.nanoTime() - received.arrivalNanos());
		this.listener.requestEnded(received.requestId(), service, outcome, latency);
	}

	private record ReceivedRequest(Context context, String requestId, long arrivalNanos) {

		private Request request() {
			return this.context.getRequest();
		}

	}

}
