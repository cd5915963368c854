package org.crocuspost.admission;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.http.HttpRequest;
import org.crocuspost.http.HttpResponse;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.time.VirtualTime;
import org.crocuspost.wire.FateQuery;
import org.crocuspost.wire.FateReply;
import org.crocuspost.wire.FateReply.Fate;
import org.crocuspost.wire.ForwardReply;
import org.crocuspost.wire.ForwardRequest;
import org.crocuspost.wire.Frame;
import org.crocuspost.wire.KeyClaim;
import org.crocuspost.wire.KeyClaimReply;
import org.crocuspost.wire.WireVerdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AdmissionControllerTests {

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final RecordingClient client = new RecordingClient();

	private final RecordingPeer peer = new RecordingPeer();

	private final AdmissionController controller = new AdmissionController(
			AdmissionSettings.of("endpoint", "service", URI.create("http://127.0.0.1:1"), 8, 64), "agent-1",
			this.client, this.time, this.time);

	private void forward(String requestId, int attempt) {
		ForwardRequest request = ForwardRequest.newBuilder()
			.setRequestId(requestId)
			.setAttempt(attempt)
			.setMethod("POST")
			.setTarget("/")
			.setBudgetMilliseconds(1000)
			.build();
		this.controller.received(this.peer, Frame.newBuilder().setCorrelation(1).setForwardRequest(request).build());
	}

	private FateReply queryFate(String requestId, String incarnation) {
		FateQuery query = FateQuery.newBuilder()
			.setRequestId(requestId)
			.setAttempt(1)
			.setIncarnation(incarnation)
			.build();
		this.controller.received(this.peer, Frame.newBuilder().setCorrelation(2).setFateQuery(query).build());
		return this.peer.last().getFateReply();
	}

	private KeyClaimReply claim(String requestId, int attempt, String replacedRequestId, int replacedAttempt) {
		KeyClaim claim = KeyClaim.newBuilder()
			.setService("service")
			.setIdempotencyKey("key")
			.setRequestId(requestId)
			.setAttempt(attempt)
			.setReplacedRequestId(replacedRequestId)
			.setReplacedAttempt(replacedAttempt)
			.build();
		this.controller.received(this.peer, Frame.newBuilder().setCorrelation(3).setKeyClaim(claim).build());
		return this.peer.last().getKeyClaimReply();
	}

	@Test
	void attemptQueriedBeforeItArrivesNeverRuns() {
		assertThat(queryFate("r", "agent-1").getFate()).isEqualTo(Fate.FATE_NEVER_RUNS);
		forward("r", 1);
		ForwardReply reply = this.peer.last().getForwardReply();
		assertThat(reply.getVerdict()).isEqualTo(WireVerdict.WIRE_VERDICT_NOT_RUN);
		assertThat(reply.getErrorCode()).isEqualTo(ErrorCode.REQUEST_CANCELLED.name());
		assertThat(this.client.calls).isEmpty();
		forward("r", 2);
		assertThat(this.client.calls).hasSize(1);
	}

	@Test
	void statusOfAttemptOfEarlierIncarnationIsUnknown() {
		assertThat(queryFate("r", "agent-0").getFate()).isEqualTo(Fate.FATE_UNKNOWN);
		forward("r", 1);
		assertThat(this.client.calls).hasSize(1);
	}

	@Test
	void attemptThatArrivesTwiceRunsOnce() {
		forward("r", 1);
		forward("r", 1);
		assertThat(this.client.calls).hasSize(1);
		assertThat(this.peer.last().getForwardReply().getErrorCode()).isEqualTo(ErrorCode.DUPLICATE_REQUEST.name());
	}

	@Test
	void lateAnswerIsKeptForTheRetentionTime() {
		forward("r", 1);
		this.time.advance(Duration.ofMillis(1000));
		ForwardReply atDeadline = this.peer.last().getForwardReply();
		assertThat(atDeadline.getErrorCode()).isEqualTo(ErrorCode.DEADLINE_AFTER_START.name());
		this.client.answer("late");
		assertThat(queryFate("r", "agent-1").getReply().getBody().toStringUtf8()).isEqualTo("late");
		this.time.advance(Duration.ofSeconds(31));
		forward("other", 1);
		this.client.answer("other");
		FateReply expired = queryFate("r", "agent-1");
		assertThat(expired.getFate()).isEqualTo(Fate.FATE_FINISHED);
		assertThat(expired.hasReply()).isFalse();
	}

	@Test
	void keyIsHeldByOneRequestUntilItsLatestAttemptIsReplaced() {
		assertThat(claim("a", 1, "", 0).getGranted()).isTrue();
		assertThat(claim("b", 1, "", 0).getRequestId()).isEqualTo("a");
		assertThat(claim("a", 3, "", 0).getGranted()).isTrue();
		assertThat(claim("b", 1, "a", 1).getGranted()).isFalse();
		assertThat(claim("b", 1, "a", 3).getGranted()).isTrue();
		assertThat(claim("a", 5, "", 0).getGranted()).isFalse();
		this.time.advance(Duration.ofMinutes(3));
		assertThat(claim("c", 1, "", 0).getGranted()).isTrue();
	}

	private static final class RecordingClient implements EndpointClient {

		private final List<HttpRequest> calls = new ArrayList<>();

		private CompletableFuture<Either<Failure, HttpResponse>> latest = new CompletableFuture<>();

		@Override
		public CompletionStage<Either<Failure, HttpResponse>> exchange(String requestId, HttpRequest call,
				Duration timeout) {
			this.calls.add(call);
			this.latest = new CompletableFuture<>();
			return this.latest;
		}

		private void answer(String body) {
			this.latest.complete(Either.right(new HttpResponse(200, List.of(), ByteString.copyFromUtf8(body))));
		}

		@Override
		public void renewConnections() {
			// There are no connections.
		}

		@Override
		public void close() {
			// There are no connections.
		}

	}

	private static final class RecordingPeer implements Peer {

		private final List<Frame> sent = new ArrayList<>();

		private Frame last() {
			return this.sent.get(this.sent.size() - 1);
		}

		@Override
		public PeerIdentity identity() {
			return new PeerIdentity(PeerIdentity.Role.ENTRY, "entry", "entry-1", "domain");
		}

		@Override
		public void send(Frame frame) {
			this.sent.add(frame);
		}

		@Override
		public CompletionStage<Either<Failure, Frame>> call(Frame frame, Duration timeout) {
			throw new UnsupportedOperationException();
		}

		@Override
		public boolean open() {
			return true;
		}

		@Override
		public void close() {
			// Nothing to close.
		}

	}

}
