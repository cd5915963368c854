import java.util.Map;
import java.util.TreeMap;

/**
 * Judges the part of the rule LOST on jobs that wait although there is room: how long an
 * accepted job has had nothing running. The stand-ins' workers have room for all jobs
 * twice over, and less than half of it is in use.
 */
final class Waiting {

	private final Map<String, Long> idleSinceNanos = new TreeMap<>();

	private final Map<String, Long> longestIdleMillis = new TreeMap<>();

	/** Observes the jobs until a time. */
	void observe(Deployment deployment, Iterable<String> jobs, long untilNanos) {
		while (System.nanoTime() < untilNanos) {
			long now = System.nanoTime();
			for (String job : jobs) {
				if (deployment.history.runningNow(job)) {
					this.idleSinceNanos.remove(job);
				}
				else {
					long since = this.idleSinceNanos.computeIfAbsent(job, (id) -> now);
					this.longestIdleMillis.merge(job, (now - since) / 1_000_000, Math::max);
				}
			}
			Client.sleep(50);
		}
	}

	/** Returns the longest time on end in which a job had nothing running. */
	long longestIdleMillis(String job) {
		return this.longestIdleMillis.getOrDefault(job, 0L);
	}

	/** Returns for how long a job has had nothing running up to now. */
	long idleMillis(String job) {
		Long since = this.idleSinceNanos.get(job);
		return (since != null) ? (System.nanoTime() - since) / 1_000_000 : 0;
	}

}
