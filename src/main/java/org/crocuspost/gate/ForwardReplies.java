package org.crocuspost.gate;

import org.crocuspost.error.Failure;
import org.crocuspost.http.HttpAnswer;
import org.crocuspost.http.HttpHeader;
import org.crocuspost.wire.ForwardReply;
import org.crocuspost.wire.ForwardRequest;
import org.crocuspost.wire.Header;
import org.crocuspost.wire.WireVerdict;

/**
 * Builds answers to forwarded requests.
 */
final class ForwardReplies {

	private ForwardReplies() {
	}

	static ForwardReply answered(ForwardRequest request, HttpAnswer answer, Room room) {
		ForwardReply.Builder reply = builder(request, room).setVerdict(WireVerdict.WIRE_VERDICT_RAN)
			.setStatus(answer.status())
			.setBody(answer.body())
			.setBodyLength(answer.body().size());
		for (HttpHeader header : answer.headers()) {
			reply.addHeaders(Header.newBuilder().setName(header.name()).setValue(header.value()));
		}
		return reply.build();
	}

	static ForwardReply failed(ForwardRequest request, Failure failure, Room room) {
		return builder(request, room).setVerdict(WireVerdict.valueOf("WIRE_VERDICT_" + failure.verdict().name()))
			.setErrorCode(failure.code().name())
			.setErrorMessage(failure.message())
			.setRetryAfterMilliseconds((int) room.expectedWait().toMillis())
			.build();
	}

	private static ForwardReply.Builder builder(ForwardRequest request, Room room) {
		return ForwardReply.newBuilder()
			.setRequestId(request.getRequestId())
			.setAttempt(request.getAttempt())
			.setSlotsUsed(room.slotsUsed())
			.setQueued(room.queued())
			.setServiceMicroseconds((int) (room.serviceTime().toNanos() / 1000));
	}

}
