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
 * Claims idempotency keys at their keepers, at all of them at the same time. The claim is
 * made before the attempt is sent and names its agent, so that whoever meets the key
 * later knows whom to ask for the fate of the attempt.
 */
public final class KeyClaims {

	private static final Duration CLAIM_TIMEOUT = Duration.ofMillis(250);

	private final KeyKeepers keepers;

	/**
	 * Creates the claims.
	 * @param keepers finds the keepers of a key
	 */
	public KeyClaims(KeyKeepers keepers) {
		this.keepers = keepers;
	}

	/**
	 * Claims the key of a request for one attempt.
	 * @param request the request
	 * @param attempt the attempt that will be sent
	 * @param replaced an earlier attempt that never runs; the default instance if none
	 * @return whether the request may use its key
	 */
	CompletionStage<KeyDecision> claim(RoutedRequest request, SentAttempt attempt, KeyClaimReply replaced) {
		String service = request.service().name();
		String key = request.idempotencyKey();
		List<Peer> asked = this.keepers.find(service, key);
		if (asked.isEmpty() || this.keepers.inDoubt(service, key)) {
			return CompletableFuture.completedFuture(new KeyDecision.Doubtful());
		}
		Frame frame = Frame.newBuilder().setKeyClaim(message(request, attempt, replaced)).build();
		List<CompletableFuture<Either<Failure, Frame>>> replies = asked.stream()
			.map((peer) -> peer.call(frame, CLAIM_TIMEOUT).toCompletableFuture())
			.toList();
		return CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
			.thenApply((done) -> decide(replies.stream().map(CompletableFuture::join).toList()));
	}

	private static KeyDecision decide(List<Either<Failure, Frame>> replies) {
		List<KeyClaimReply> heard = new ArrayList<>();
		for (Either<Failure, Frame> reply : replies) {
			reply.forEach((frame) -> heard.add(frame.getKeyClaimReply()));
		}
		for (KeyClaimReply reply : heard) {
			if (!reply.getGranted()) {
				return new KeyDecision.Held(reply);
			}
		}
		return heard.isEmpty() ? new KeyDecision.Doubtful() : new KeyDecision.Granted();
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
	 * Computes what must be equal in all tries with one key.
	 * @param request the request
	 * @return the digest of method, target and body
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
