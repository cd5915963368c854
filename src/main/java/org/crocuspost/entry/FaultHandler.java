package org.crocuspost.entry;

import org.crocuspost.error.ErrorCode;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.retry.RequestOutcome;
import ratpack.error.ServerErrorHandler;
import ratpack.handling.Context;

/**
 * Answers a request whose handling threw an exception, for example because the caller's
 * connection ended in the middle of the body.
 */
final class FaultHandler implements ServerErrorHandler {

	private static final String NO_IDENTITY = "unknown";

	@Override
	public void error(Context context, Throwable throwable) {
		String requestId = context.getRequest()
			.maybeGet(RequestIdentity.class)
			.map(RequestIdentity::value)
			.orElse(NO_IDENTITY);
		EventLog.error(throwable, EntryEvent.CALLER_REQUEST_FAILED, Field.of("requestId", requestId));
		CallerAnswers.write(context.getResponse(), requestId,
				RequestOutcome.of(ErrorCode.INTERNAL.with(throwable.getClass().getSimpleName())));
	}

}
