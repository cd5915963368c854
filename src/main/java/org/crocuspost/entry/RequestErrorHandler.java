package org.crocuspost.entry;

import org.crocuspost.error.ErrorCode;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.retry.RequestOutcome;
import ratpack.error.ServerErrorHandler;
import ratpack.handling.Context;

/**
 * Logs an exception that was thrown while a request was handled, for example because the
 * caller's connection ended in the middle of the body, and responds with an internal
 * error.
 */
final class RequestErrorHandler implements ServerErrorHandler {

	private static final String UNKNOWN_REQUEST_ID = "unknown";

	@Override
	public void error(Context context, Throwable throwable) {
		String requestId = context.getRequest()
			.maybeGet(RequestId.class)
			.map(RequestId::value)
			.orElse(UNKNOWN_REQUEST_ID);
		EventLog.error(throwable, EntryEvent.CALLER_REQUEST_FAILED, Field.of("requestId", requestId));
		ResponseWriter.write(context.getResponse(), requestId,
				RequestOutcome.of(ErrorCode.INTERNAL.with(throwable.getClass().getSimpleName())));
	}

}
