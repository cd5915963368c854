package org.crocuspost.routing;

import java.time.Duration;

import org.crocuspost.peer.Peer;
import org.crocuspost.time.Clock;
import org.crocuspost.wire.AgentStatus;

/**
 * Tracks the state of one endpoint as seen by this entry: the latest announcement of its
 * agent, the load that the agent last reported in an announcement or a reply, and the
 * requests that this entry has outstanding there. This class is thread-safe.
 * <p>
 * The load is the sum of this entry's own outstanding requests, which are counted
 * exactly, and those of other entries, which are estimated from the latest report: the
 * reported load minus this entry's own load at that time. The report alone would lag by a
 * heartbeat interval; the own requests alone would ignore the load from other entries.
 */
public final class RoutedEndpoint {

	private static final Duration SERVICE_TIME_HALF_LIFE = Duration.ofSeconds(5);

	private static final Duration OTHER_ENTRIES_HALF_LIFE = Duration.ofMillis(200);

	private static final int LOWEST_PRIORITY = 9;

	private static final double MINIMUM_SUCCESS_RATE = 0.1;

	private final Peer peer;

	private final Clock clock;

	private final EndpointHealth health;

	private AgentStatus status;

	private int outstanding;

	private int otherEntriesLoad;

	private double serviceNanos;

	private long observedAtNanos;

	RoutedEndpoint(Peer peer, AgentStatus status, Clock clock) {
		this.peer = peer;
		this.clock = clock;
		this.health = new EndpointHealth(clock);
		this.status = status;
		updateStatus(status);
	}

	/**
	 * Returns the connection to the agent of the endpoint.
	 * @return the connection
	 */
	public Peer peer() {
		return this.peer;
	}

	/**
	 * Returns the identifier of the endpoint.
	 * @return the identifier
	 */
	public String endpointId() {
		return status().getEndpointId();
	}

	/**
	 * Returns the latest announcement of the agent.
	 * @return the announcement
	 */
	public synchronized AgentStatus status() {
		return this.status;
	}

	synchronized void updateStatus(AgentStatus latest) {
		this.status = latest;
		updateLoad(latest.getSlotsUsed(), latest.getQueued(), latest.getServiceMicroseconds());
	}

	/**
	 * Updates the load and the service time from an announcement or reply of the agent.
	 * @param slotsUsed the number of slots in use
	 * @param queued the number of requests in the queue
	 * @param serviceMicroseconds the estimated service time of a request in microseconds
	 */
	public synchronized void updateLoad(int slotsUsed, int queued, int serviceMicroseconds) {
		this.otherEntriesLoad = Math.max(0, slotsUsed + queued - this.outstanding);
		this.serviceNanos = serviceMicroseconds * 1000.0;
		this.observedAtNanos = this.clock.nanoTime();
	}

	/**
	 * Records that a request is being sent.
	 */
	public synchronized void recordSent() {
		this.outstanding++;
	}

	/**
	 * Records the end of a request and its effect on the health of the endpoint.
	 * @param success whether the endpoint answered the request without a server error
	 */
	public synchronized void recordEnd(boolean success) {
		this.outstanding--;
		if (success) {
			this.health.recordSuccess();
		}
		else {
			this.health.recordFailure();
		}
	}

	/**
	 * Records the end of a request whose outcome has no bearing on the health of the
	 * endpoint.
	 */
	public synchronized void recordInconclusiveEnd() {
		this.outstanding--;
	}

	/**
	 * Returns the number of requests that this entry has sent and that have not ended.
	 * @return the number
	 */
	public synchronized int outstanding() {
		return this.outstanding;
	}

	/**
	 * Returns the estimated number of requests that are running or queued at the
	 * endpoint. The share of other entries decays between two reports. An entry that has
	 * no outstanding requests receives only heartbeats; without the decay it would refuse
	 * requests until the next heartbeat even if the requests of other entries have ended.
	 * @return the number
	 */
	public synchronized int load() {
		double age = this.clock.nanoTime() - this.observedAtNanos;
		return this.outstanding
				+ (int) (this.otherEntriesLoad * Math.pow(0.5, age / OTHER_ENTRIES_HALF_LIFE.toNanos()));
	}

	/**
	 * Returns whether the endpoint is likely to admit one more request. The lower the
	 * priority of a request, the smaller the part of the queue that it may use.
	 * @param priority the priority of the request; 0 is the highest, 9 the lowest
	 * @return true if there is free capacity
	 */
	public synchronized boolean hasFreeCapacity(int priority) {
		int usableQueue = this.status.getQueueLimit() * (LOWEST_PRIORITY + 1 - priority) / (LOWEST_PRIORITY + 1);
		return load() < this.status.getSlots() + usableQueue;
	}

	/**
	 * Returns the state of the circuit breaker of the endpoint.
	 * @return the state
	 */
	public synchronized HealthState health() {
		return this.health.state();
	}

	/**
	 * Returns the fraction of recent requests that failed, as an exponentially weighted
	 * average.
	 * @return a value from 0 to 1
	 */
	public synchronized double failureRate() {
		return this.health.failureRate();
	}

	/**
	 * Returns the expected time for one more request. Without new reports the service
	 * time in the estimate halves every few seconds, so that an endpoint that was slow is
	 * tried again.
	 * @return the time in nanoseconds; comparable between endpoints of a service
	 */
	public synchronized double expectedNanos() {
		double age = this.clock.nanoTime() - this.observedAtNanos;
		double decayedServiceNanos = 1 + this.serviceNanos * Math.pow(0.5, age / SERVICE_TIME_HALF_LIFE.toNanos());
		double utilization = (load() + 1.0) / Math.max(1, this.status.getSlots());
		double successRate = Math.max(MINIMUM_SUCCESS_RATE, 1 - this.health.failureRate());
		return decayedServiceNanos * (1 + utilization) / (this.health.slowStartWeight() * successRate * successRate);
	}

}
