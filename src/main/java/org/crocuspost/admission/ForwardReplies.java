package org.crocuspost.admission;

import org.crocuspost.error.Failure;
import org.crocuspost.http.HttpHeader;
import org.crocuspost.http.HttpResponse;
import org.crocuspost.wire.ForwardReply;
import org.crocuspost.wire.ForwardRequest;
import org.crocuspost.wire.Header;
import org.crocuspost.wire.WireVerdict;

/**
 * Builds the replies to forwarded requests.
 */
final class ForwardReplies {

	private ForwardReplies() {
	}

	static ForwardReply answered(ForwardRequest request, HttpResponse answer, EndpointLoad load) {
		ForwardReply.Builder reply = builder(request, load).setVerdict(WireVerdict.WIRE_VERDICT_RAN)
			.setStatus(answer.status())
			.setBody(answer.body())
			.setBodyLength(answer.body().size());
		for (HttpHeader header : answer.headers()) {
			reply.addHeaders(Header.newBuilder().setName(header.name()).setValue(header.value()));
		}
		return reply.build();
	}

	static ForwardReply failed(ForwardRequest request, Failure failure, EndpointLoad load) {
		return builder(request, load).setVerdict(WireVerdict.valueOf("WIRE_VERDICT_" + failure.verdict().name()))
			.setErrorCode(failure.code().name())
			.setErrorMessage(failure.message())
			.setRetryAfterMilliseconds((int) load.expectedWait().toMillis())
			.build();
	}

	private static ForwardReply.Builder builder(ForwardRequest request, EndpointLoad load) {
		return ForwardReply.newBuilder()
			.setRequestId(request.getRequestId())
			.setAttempt(request.getAttempt())
			.setSlotsUsed(load.slotsUsed())
			.setQueued(load.queued())
			.setServiceMicroseconds((int) (load.serviceTime().toNanos() / 1000));
	}

}
