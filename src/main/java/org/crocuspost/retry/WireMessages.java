package org.crocuspost.retry;

import java.time.Duration;

import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.http.HttpResponse;
import org.crocuspost.http.HttpHeader;
import org.crocuspost.wire.ForwardReply;
import org.crocuspost.wire.ForwardRequest;
import org.crocuspost.wire.Frame;
import org.crocuspost.wire.Header;
import org.crocuspost.wire.WireVerdict;

/**
 * Converts requests to wire messages and replies to outcomes.
 */
final class WireMessages {

	private WireMessages() {
	}

	static Frame forward(RoutedRequest request, int attempt, Duration budget) {
		ForwardRequest.Builder forward = ForwardRequest.newBuilder()
			.setRequestId(request.requestId())
			.setAttempt(attempt)
			.setService(request.service().name())
			.setMethod(request.call().method())
			.setTarget(request.call().target())
			.setBody(request.call().body())
			.setBodyLength(request.call().body().size())
			.setBudgetMilliseconds((int) budget.toMillis())
			.setIdempotent(request.idempotent())
			.setPriority(request.service().priority())
			.setIdempotencyKey(request.idempotencyKey());
		for (HttpHeader header : request.call().headers()) {
			forward.addHeaders(Header.newBuilder().setName(header.name()).setValue(header.value()));
		}
		return Frame.newBuilder().setForwardRequest(forward).build();
	}

	/**
	 * Converts the reply of an agent.
	 * @param reply the reply
	 * @param agentName the name of the agent
	 * @return the outcome; may-have-run if the body is incomplete
	 */
	static RequestOutcome outcome(ForwardReply reply, String agentName) {
		if (reply.getVerdict() != WireVerdict.WIRE_VERDICT_RAN) {
			return failure(reply);
		}
		if (reply.getBody().size() != reply.getBodyLength()) {
			return new RequestOutcome.MayHaveRun(ErrorCode.ANSWER_INCOMPLETE.with(agentName));
		}
		return new RequestOutcome.Answered(new HttpResponse(reply.getStatus(),
				reply.getHeadersList()
					.stream()
					.map((header) -> new HttpHeader(header.getName(), header.getValue()))
					.toList(),
				reply.getBody()));
	}

	private static RequestOutcome failure(ForwardReply reply) {
		Failure failure = new Failure(code(reply.getErrorCode()), reply.getErrorMessage());
		boolean notRun = reply.getVerdict() == WireVerdict.WIRE_VERDICT_NOT_RUN
				&& failure.verdict() == org.crocuspost.error.Verdict.NOT_RUN;
		if (notRun) {
			return new RequestOutcome.NotRun(failure, Duration.ofMillis(reply.getRetryAfterMilliseconds()));
		}
		return new RequestOutcome.MayHaveRun(failure);
	}

	private static ErrorCode code(String name) {
		try {
			return ErrorCode.valueOf(name);
		}
		catch (IllegalArgumentException ex) {
			return ErrorCode.INTERNAL;
		}
	}

}
