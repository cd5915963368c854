package org.crocuspost.routing;

import java.time.Duration;

import org.crocuspost.peer.Peer;
import org.crocuspost.time.Clock;
import org.crocuspost.wire.AgentStatus;

/**
 * What this entry knows of one endpoint: the newest report of its agent and what this
 * entry has sent since. Safe for use by several threads.
 * <p>
 * The load is the sum of this entry's own outstanding requests, which it knows exactly,
 * and those of other entries, which it infers from the newest report: the reported load
 * less its own at that time. Counting the report alone would lag by a heartbeat; counting
 * own requests alone would be blind to the other entries.
 */
public final class RoutedEndpoint {

	private static final Duration HALF_LIFE = Duration.ofSeconds(5);

	private static final Duration OTHERS_HALF_LIFE = Duration.ofMillis(200);

	private static final int LOWEST_PRIORITY = 9;

	private static final double LEAST_SUCCESS = 0.1;

	private final Peer peer;

	private final Clock clock;

	private final EndpointHealth health;

	private AgentStatus status;

	private int outstanding;

	private int othersLoad;

	private double serviceNanos;

	private long observedAt;

	RoutedEndpoint(Peer peer, AgentStatus status, Clock clock) {
		this.peer = peer;
		this.clock = clock;
		this.health = new EndpointHealth(clock);
		this.status = status;
		report(status);
	}

	/**
	 * Returns the connection to the agent of the endpoint.
	 * @return the connection
	 */
	public Peer peer() {
		return this.peer;
	}

	/**
	 * Returns the identity of the endpoint.
	 * @return the identity
	 */
	public String endpointId() {
		return status().getEndpointId();
	}

	/**
	 * Returns the newest announcement of the agent.
	 * @return the announcement
	 */
	public synchronized AgentStatus status() {
		return this.status;
	}

	synchronized void report(AgentStatus newest) {
		this.status = newest;
		observe(newest.getSlotsUsed(), newest.getQueued(), newest.getServiceMicroseconds());
	}

	/**
	 * Takes in the room that came with an answer.
	 * @param slotsUsed the slots that are taken
	 * @param queued the requests that wait
	 * @param serviceMicroseconds the estimated time for one request
	 */
	public synchronized void observe(int slotsUsed, int queued, int serviceMicroseconds) {
		this.othersLoad = Math.max(0, slotsUsed + queued - this.outstanding);
		this.serviceNanos = serviceMicroseconds * 1000.0;
		this.observedAt = this.clock.nanoTime();
	}

	/**
	 * Counts a request that is being sent.
	 */
	public synchronized void sent() {
		this.outstanding++;
	}

	/**
	 * Counts the end of a request.
	 * @param good whether the endpoint answered it without a fault
	 */
	public synchronized void ended(boolean good) {
		this.outstanding--;
		if (good) {
			this.health.succeeded();
		}
		else {
			this.health.failed();
		}
	}

	/**
	 * Counts the end of a request that says nothing about the health of the endpoint.
	 */
	public synchronized void refused() {
		this.outstanding--;
	}

	/**
	 * Returns the requests that this entry has sent and that have not ended.
	 * @return the number
	 */
	public synchronized int outstanding() {
		return this.outstanding;
	}

	/**
	 * Returns the estimated number of requests that run or wait at the endpoint. The part
	 * of other entries fades between two reports: an entry that has nothing outstanding
	 * hears nothing but heartbeats, and would otherwise refuse its requests for as long
	 * although the others' are done.
	 * @return the number
	 */
	public synchronized int load() {
		double age = this.clock.nanoTime() - this.observedAt;
		return this.outstanding + (int) (this.othersLoad * Math.pow(0.5, age / OTHERS_HALF_LIFE.toNanos()));
	}

	/**
	 * Says whether the endpoint is likely to admit one more request. The lower the
	 * priority of a request, the less of the queue it may use.
	 * @param priority the priority of the request; 0 is the highest, 9 the lowest
	 * @return true if there is room
	 */
	public synchronized boolean hasRoom(int priority) {
		int queue = this.status.getQueueLimit() * (LOWEST_PRIORITY + 1 - priority) / (LOWEST_PRIORITY + 1);
		return load() < this.status.getSlots() + queue;
	}

	/**
	 * Says whether the endpoint is given requests.
	 * @return the state
	 */
	public synchronized HealthState health() {
		return this.health.state();
	}

	/**
	 * Returns the share of recent requests that failed.
	 * @return a value from 0 to 1
	 */
	public synchronized double failureRate() {
		return this.health.failureRate();
	}

	/**
	 * Returns the expected time for one more request. Without news the estimate falls by
	 * half every few seconds, so that an endpoint that was slow is tried again.
	 * @return the time in nanoseconds; comparable between endpoints of a service
	 */
	public synchronized double expectedNanos() {
		double age = this.clock.nanoTime() - this.observedAt;
		double service = 1 + this.serviceNanos * Math.pow(0.5, age / HALF_LIFE.toNanos());
		double share = (load() + 1.0) / Math.max(1, this.status.getSlots());
		double success = Math.max(LEAST_SUCCESS, 1 - this.health.failureRate());
		return service * (1 + share) / (this.health.startWeight() * success * success);
	}

}
