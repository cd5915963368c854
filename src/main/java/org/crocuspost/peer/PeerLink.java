package org.crocuspost.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Timer;
import org.jspecify.annotations.Nullable;

/**
 * Connection to one address that is reopened whenever it ends. The delay before the n-th
 * consecutive attempt is random between zero and an upper bound that doubles with n, so
 * that agents that lost the same entry do not reconnect at the same time.
 */
public final class PeerLink {

	private static final Duration INITIAL_DELAY_BOUND = Duration.ofMillis(50);

	private static final Duration MAXIMUM_DELAY_BOUND = Duration.ofSeconds(3);

	private static final int MAXIMUM_DOUBLINGS = 6;

	private static final Duration STABLE_CONNECTION_TIME = Duration.ofSeconds(1);

	private final Bootstrap bootstrap;

	private final InetSocketAddress address;

	private final Timer timer;

	private int consecutiveFailures;

	private boolean closed;

	private @Nullable Channel channel;

	private Cancellable nextDial = () -> {
	};

	PeerLink(Bootstrap bootstrap, InetSocketAddress address, Timer timer) {
		this.bootstrap = bootstrap;
		this.address = address;
		this.timer = timer;
	}

	/**
	 * Returns the address of the other process.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.address;
	}

	synchronized void dial() {
		if (!this.closed) {
			this.bootstrap.connect(this.address).addListener((ChannelFuture future) -> connectCompleted(future));
		}
	}

	private synchronized void connectCompleted(ChannelFuture future) {
		if (!future.isSuccess()) {
			scheduleDial();
			return;
		}
		Channel connected = future.channel();
		if (this.closed) {
			connected.close();
			return;
		}
		this.channel = connected;
		Cancellable stable = this.timer.schedule(STABLE_CONNECTION_TIME, this::resetConsecutiveFailures);
		connected.closeFuture().addListener((close) -> {
			stable.cancel();
			scheduleDial();
		});
	}

	private synchronized void resetConsecutiveFailures() {
		this.consecutiveFailures = 0;
	}

	private synchronized void scheduleDial() {
		if (this.closed) {
			return;
		}
		long bound = INITIAL_DELAY_BOUND.toNanos() << Math.min(this.consecutiveFailures, MAXIMUM_DOUBLINGS);
		this.consecutiveFailures++;
		long delay = ThreadLocalRandom.current().nextLong(Math.min(bound, MAXIMUM_DELAY_BOUND.toNanos())) + 1;
		this.nextDial = this.timer.schedule(Duration.ofNanos(delay), this::dial);
	}

	/**
	 * Closes the connection and stops reconnecting.
	 */
	public synchronized void close() {
		this.closed = true;
		this.nextDial.cancel();
		if (this.channel != null) {
			this.channel.close();
		}
	}

}
