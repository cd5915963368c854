package org.crocuspost.operations;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.wire.Frame;
import org.crocuspost.wire.ViewQuery;
import org.crocuspost.wire.ViewReply;

/**
 * Sends view queries to the schedulers that an entry is connected to.
 */
public final class SchedulerQueries implements PeerListener {

	private static final Duration TIMEOUT = Duration.ofSeconds(3);

	private final Set<Peer> schedulers = ConcurrentHashMap.newKeySet();

	@Override
	public void connected(Peer peer) {
		if (peer.identity().role() == PeerIdentity.Role.SCHEDULER) {
			this.schedulers.add(peer);
		}
	}

	@Override
	public void received(Peer peer, Frame frame) {
		// Schedulers only answer calls and send no frames of their own.
	}

	@Override
	public void disconnected(Peer peer) {
		this.schedulers.remove(peer);
	}

	/**
	 * Sends a query to all connected schedulers at the same time. Blocks until each has
	 * answered or timed out.
	 * @param view the view
	 * @param id the id of the task to explain; empty for other views
	 * @return the answer of each scheduler as JSON, or its failure
	 */
	List<Either<Failure, String>> queryAll(ViewQuery.View view, String id) {
		Frame query = Frame.newBuilder().setViewQuery(ViewQuery.newBuilder().setView(view).setId(id)).build();
		return this.schedulers.stream()
			.filter(Peer::open)
			.map((scheduler) -> scheduler.call(query, TIMEOUT).toCompletableFuture())
			.toList()
			.stream()
			.map((answer) -> await(answer).flatMap(SchedulerQueries::read))
			.toList();
	}

	private static Either<Failure, Frame> await(Future<Either<Failure, Frame>> answer) {
		try {
			return answer.get(2 * TIMEOUT.toNanos(), TimeUnit.NANOSECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Either.left(ErrorCode.INTERNAL.with("interrupted"));
		}
		catch (ExecutionException | TimeoutException ex) {
			return Either.left(ErrorCode.INTERNAL.with(ex.getMessage()));
		}
	}

	private static Either<Failure, String> read(Frame frame) {
		ViewReply reply = frame.getViewReply();
		if (reply.getErrorCode().isEmpty()) {
			return Either.right(reply.getJson());
		}
		ErrorCode code = Arrays.stream(ErrorCode.values())
			.filter((candidate) -> candidate.name().equals(reply.getErrorCode()))
			.findFirst()
			.orElse(ErrorCode.INTERNAL);
		return Either.left(new Failure(code, reply.getErrorMessage()));
	}

}
