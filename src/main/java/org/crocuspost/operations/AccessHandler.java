package org.crocuspost.operations;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.settings.Secret;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/**
 * Enforces the rate limit and requires the bearer token of operators. The limit counts
 * all requests, also those with a wrong token, so that it slows down guessing of the
 * token.
 */
final class AccessHandler implements Handler {

	private static final String SCHEME = "Bearer ";

	private final Secret token;

	private final TokenBucket bucket;

	private final int requestsPerSecond;

	AccessHandler(Secret token, TokenBucket bucket, int requestsPerSecond) {
		this.token = token;
		this.bucket = bucket;
		this.requestsPerSecond = requestsPerSecond;
	}

	@Override
	public void handle(Context context) {
		if (!this.bucket.tryTake()) {
			Responses.problem(context, ErrorCode.RATE_LIMITED.with(this.requestsPerSecond));
		}
		else if (authorized(context.getRequest().getHeaders().get(HttpHeaderNames.AUTHORIZATION))) {
			context.next();
		}
		else {
			context.getResponse().getHeaders().set(HttpHeaderNames.WWW_AUTHENTICATE, "Bearer");
			Responses.problem(context, ErrorCode.UNAUTHORIZED.with());
		}
	}

	private boolean authorized(String header) {
		return header != null && header.startsWith(SCHEME) && this.token.matches(header.substring(SCHEME.length()));
	}

}
