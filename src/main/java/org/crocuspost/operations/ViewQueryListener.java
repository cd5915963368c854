package org.crocuspost.operations;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.json.Json;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.wire.Frame;
import org.crocuspost.wire.ViewQuery;
import org.crocuspost.wire.ViewReply;

/**
 * Answers the view queries of entries in a scheduler. The views must not block, because
 * they are read where the frame is received.
 */
public final class ViewQueryListener implements PeerListener {

	private final BatchViews views;

	/**
	 * Creates the listener.
	 * @param views the views of the batch work of this scheduler
	 */
	public ViewQueryListener(BatchViews views) {
		this.views = views;
	}

	@Override
	public void connected(Peer peer) {
		// The entry sends the first frame.
	}

	@Override
	public void received(Peer peer, Frame frame) {
		if (frame.hasViewQuery() && peer.identity().role() == PeerIdentity.Role.ENTRY) {
			peer.send(Frame.newBuilder()
				.setCorrelation(frame.getCorrelation())
				.setAnswer(true)
				.setViewReply(reply(frame.getViewQuery()))
				.build());
		}
	}

	@Override
	public void disconnected(Peer peer) {
		// There is no state per connection.
	}

	private ViewReply reply(ViewQuery query) {
		return read(query).fold(ViewQueryListener::failed,
				(lines) -> ViewReply.newBuilder().setJson(Json.write(lines)).build());
	}

	private static ViewReply failed(Failure failure) {
		return ViewReply.newBuilder().setErrorCode(failure.code().name()).setErrorMessage(failure.message()).build();
	}

	private Either<Failure, ?> read(ViewQuery query) {
		return switch (query.getView()) {
			case VIEW_WORKERS -> this.views.workers().read();
			case VIEW_JOBS -> this.views.jobs().read();
			case VIEW_TASKS -> this.views.tasks().read();
			case VIEW_EXPLAIN_TASK -> this.views.taskExplainer().explain(query.getId());
			default -> Either.left(ErrorCode.MALFORMED.with("unknown view"));
		};
	}

}
