package org.crocuspost.retry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.peer.Peer;
import org.crocuspost.wire.Frame;
import org.crocuspost.wire.KeyClaim;
import org.crocuspost.wire.KeyClaimReply;

/**
 * Claims idempotency keys at all their replicas in parallel. The claim is made before the
 * attempt is sent and names the agent to which the attempt goes, so that a later request
 * with the same key can query that agent for the outcome of the attempt.
 */
public final class KeyClaimer {

	private static final Duration CLAIM_TIMEOUT = Duration.ofMillis(250);

	private final KeyReplicaLocator replicas;

	/**
	 * Creates a claimer.
	 * @param replicas selects the agents that store a key
	 */
	public KeyClaimer(KeyReplicaLocator replicas) {
		this.replicas = replicas;
	}

	/**
	 * Claims the key of a request for one attempt.
	 * @param request the request
	 * @param attempt the attempt that will be sent
	 * @param replaced the holder of the key whose attempt never runs and whose claim is
	 * replaced; the default instance if there is none
	 * @return the result; unknown if no replica answers or all former replicas have
	 * departed
	 */
	CompletionStage<KeyClaimResult> claim(RoutedRequest request, SentAttempt attempt, KeyClaimReply replaced) {
		String service = request.service().name();
		String key = request.idempotencyKey();
		List<Peer> queried = this.replicas.find(service, key);
		if (queried.isEmpty() || this.replicas.allReplicasDeparted(service, key)) {
			return CompletableFuture.completedFuture(new KeyClaimResult.Unknown());
		}
		Frame frame = Frame.newBuilder().setKeyClaim(message(request, attempt, replaced)).build();
		List<CompletableFuture<Either<Failure, Frame>>> replies = queried.stream()
			.map((peer) -> peer.call(frame, CLAIM_TIMEOUT).toCompletableFuture())
			.toList();
		return CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
			.thenApply((done) -> combine(replies.stream().map(CompletableFuture::join).toList()));
	}

	private static KeyClaimResult combine(List<Either<Failure, Frame>> replies) {
		List<KeyClaimReply> received = new ArrayList<>();
		for (Either<Failure, Frame> reply : replies) {
			reply.forEach((frame) -> received.add(frame.getKeyClaimReply()));
		}
		for (KeyClaimReply reply : received) {
			if (!reply.getGranted()) {
				return new KeyClaimResult.Held(reply);
			}
		}
		return received.isEmpty() ? new KeyClaimResult.Unknown() : new KeyClaimResult.Granted();
	}

	private static KeyClaim message(RoutedRequest request, SentAttempt attempt, KeyClaimReply replaced) {
		return KeyClaim.newBuilder()
			.setService(request.service().name())
			.setIdempotencyKey(request.idempotencyKey())
			.setRequestId(request.requestId())
			.setAttempt(attempt.number())
			.setTargetAgent(attempt.agentName())
			.setTargetIncarnation(attempt.agentIncarnation())
			.setBodyDigest(digest(request))
			.setReplacedRequestId(replaced.getRequestId())
			.setReplacedAttempt(replaced.getAttempt())
			.build();
	}

	/**
	 * Computes the digest that must be equal in all requests with the same idempotency
	 * key.
	 * @param request the request
	 * @return the SHA-256 digest of method, target and body
	 */
	static ByteString digest(RoutedRequest request) {
		byte[] digest = Hashing.sha256()
			.newHasher()
			.putString(request.call().method() + "\n" + request.call().target() + "\n", StandardCharsets.UTF_8)
			.putBytes(request.call().body().asReadOnlyByteBuffer())
			.hash()
			.asBytes();
		return ByteString.copyFrom(digest);
	}

}
