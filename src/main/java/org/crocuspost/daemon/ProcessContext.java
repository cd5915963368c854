package org.crocuspost.daemon;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.crocuspost.time.Clock;
import org.crocuspost.time.ExecutorTimer;
import org.crocuspost.time.SystemClock;
import org.crocuspost.time.Timer;

/**
 * Threads and time of one process, shared by its parts.
 */
public final class ProcessContext implements AutoCloseable {

	private static final int BLOCKING_THREADS = 4;

	private final Clock clock = new SystemClock();

	private final ScheduledExecutorService timerExecutor;

	private final ScheduledExecutorService blockingTimerExecutor;

	private final ExecutorService blocking;

	private final EventLoopGroup network;

	/**
	 * Starts the threads.
	 * @param name the name of the process, which begins the names of its threads
	 * @param networkThreads the number of threads for connections between processes
	 */
	public ProcessContext(String name, int networkThreads) {
		this.timerExecutor = Executors.newSingleThreadScheduledExecutor(threads(name + "-timer"));
		this.blockingTimerExecutor = Executors.newSingleThreadScheduledExecutor(threads(name + "-platform-timer"));
		this.blocking = Executors.newFixedThreadPool(BLOCKING_THREADS, threads(name + "-platform"));
		this.network = new NioEventLoopGroup(networkThreads, threads(name + "-network"));
	}

	private static ThreadFactory threads(String name) {
		return new DefaultThreadFactory(name, true);
	}

	/**
	 * Returns the clock.
	 * @return the clock of the operating system
	 */
	public Clock clock() {
		return this.clock;
	}

	/**
	 * Returns the timer for short actions that never block.
	 * @return the timer
	 */
	public Timer timer() {
		return new ExecutorTimer(this.timerExecutor);
	}

	/**
	 * Returns the timer for actions that call the platform. It runs one action at a time.
	 * @return the timer
	 */
	public Timer blockingTimer() {
		return new ExecutorTimer(this.blockingTimerExecutor);
	}

	/**
	 * Returns the executor for calls to the platform that may run side by side.
	 * @return the executor
	 */
	public ExecutorService blocking() {
		return this.blocking;
	}

	/**
	 * Returns the threads for connections between processes.
	 * @return the group
	 */
	public EventLoopGroup network() {
		return this.network;
	}

	@Override
	public void close() {
		this.timerExecutor.shutdownNow();
		this.blockingTimerExecutor.shutdownNow();
		this.blocking.shutdownNow();
		this.network.shutdownGracefully();
	}

}
