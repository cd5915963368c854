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
import org.crocuspost.http.HttpRequest;
import org.crocuspost.http.HeaderNames;
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
 * Takes a caller's request, runs it and writes the outcome.
 */
final class CallerHandler implements Handler {

	private final CallerSettings settings;

	private final BodyReader bodies;

	private final ConfigurationSource configurations;

	private final RequestRunner runner;

	private final RequestIds ids;

	private final InFlightRequests inFlight;

	private final RequestListener listener;

	private final Clock clock;

	CallerHandler(CallerSettings settings, ConfigurationSource configurations, RequestRunner runner, RequestIds ids,
			InFlightRequests inFlight, RequestListener listener, Clock clock) {
		this.settings = settings;
		this.bodies = new BodyReader(settings.maximumBodyBytes());
		this.configurations = configurations;
		this.runner = runner;
		this.ids = ids;
		this.inFlight = inFlight;
		this.listener = listener;
		this.clock = clock;
	}

	@Override
	public void handle(Context context) {
		Arrival arrival = new Arrival(context, this.ids.next(), this.clock.nanoTime());
		context.getRequest().add(new RequestIdentity(arrival.requestId()));
		this.inFlight.begin();
		context.onClose((outcome) -> this.inFlight.end());
		if (this.inFlight.draining()) {
			context.getResponse().getHeaders().set(HttpHeaderNames.CONNECTION, "close");
		}
		Request request = context.getRequest();
		Either<Failure, ServiceSpecification> service = service(request);
		if (service.isLeft()) {
			finish(arrival, "", RequestOutcome.of(service.getLeft()));
			return;
		}
		this.bodies.read(request)
			.then((body) -> body.ifPresentOrElse((content) -> run(arrival, service.get(), content),
					() -> refuseTooLarge(arrival, service.get())));
	}

	private void refuseTooLarge(Arrival arrival, ServiceSpecification service) {
		Failure failure = ErrorCode.REQUEST_TOO_LARGE.with(this.settings.maximumBodyBytes());
		finish(arrival, service.name(), RequestOutcome.of(failure));
	}

	private Either<Failure, ServiceSpecification> service(Request request) {
		String host = host(request.getHeaders());
		String path = "/" + request.getPath();
		Optional<ServiceSpecification> service = this.configurations.current().findService(host, path);
		return service.map(Either::<Failure, ServiceSpecification>right)
			.orElseGet(() -> Either.left(ErrorCode.SERVICE_UNKNOWN.with(host, path)));
	}

	private static String host(Headers headers) {
		String host = headers.get(HttpHeaderNames.HOST);
		if (host == null) {
			return "";
		}
		int port = host.lastIndexOf(':');
		return (port > host.lastIndexOf(']')) ? host.substring(0, port) : host;
	}

	private void run(Arrival arrival, ServiceSpecification service, ByteString body) {
		Either<Failure, Duration> timeout = timeout(arrival.request().getHeaders(), service);
		if (timeout.isLeft()) {
			finish(arrival, service.name(), RequestOutcome.of(timeout.getLeft()));
			return;
		}
		CompletionStage<RequestOutcome> outcome = this.runner.run(routed(arrival, service, body, timeout.get()));
		Promise.<RequestOutcome>async((downstream) -> downstream.accept(outcome))
			.onError((exception) -> finish(arrival, service.name(),
					RequestOutcome.of(ErrorCode.INTERNAL.with(exception.getMessage()))))
			.then((result) -> finish(arrival, service.name(), result));
	}

	private Either<Failure, Duration> timeout(Headers headers, ServiceSpecification service) {
		String stated = headers.get(HeaderNames.DEADLINE);
		if (stated == null) {
			return Either.right(service.timeout());
		}
		try {
			Duration timeout = Duration.ofMillis(Long.parseUnsignedLong(stated));
			boolean tooLong = timeout.compareTo(this.settings.maximumTimeout()) > 0;
			return Either.right(tooLong ? this.settings.maximumTimeout() : timeout);
		}
		catch (NumberFormatException ex) {
			return Either.left(ErrorCode.MALFORMED.with(HeaderNames.DEADLINE + " is not a number"));
		}
	}

	private static RoutedRequest routed(Arrival arrival, ServiceSpecification service, ByteString body,
			Duration timeout) {
		Request request = arrival.request();
		HttpRequest call = new HttpRequest(request.getMethod().getName(), request.getRawUri(),
				ForwardedHeaders.select(request.getHeaders().getNettyHeaders()), body);
		String key = request.getHeaders().get(HeaderNames.IDEMPOTENCY_KEY);
		return new RoutedRequest(arrival.requestId(), service, call, (key != null) ? key : "", timeout,
				arrival.nanos() + timeout.toNanos());
	}

	private void finish(Arrival arrival, String service, RequestOutcome outcome) {
		CallerAnswers.write(arrival.context().getResponse(), arrival.requestId(), outcome);
		if (outcome instanceof RequestOutcome.MayHaveRun uncertain) {
			EventLog.warn(EntryEvent.REQUEST_UNCERTAIN, Field.of("requestId", arrival.requestId()),
					Field.of("service", service), Field.of("code", uncertain.failure().code().code()));
		}
		Duration latency = Duration.ofNanos(this.clock.nanoTime() - arrival.nanos());
		this.listener.requestEnded(arrival.requestId(), service, outcome, latency);
	}

	private record Arrival(Context context, String requestId, long nanos) {

		private Request request() {
			return this.context.getRequest();
		}

	}

}
