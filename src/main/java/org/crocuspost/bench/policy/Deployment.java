package org.crocuspost.bench.policy;

import java.time.Duration;
import java.util.List;

import org.crocuspost.configuration.ServiceObjective;
import org.crocuspost.platform.worker.Resources;

/**
 * Simulated deployment: its size, its load and the weights of its measures.
 *
 * @param name the name
 * @param domains the failure domains
 * @param workers the number of workers
 * @param workersWithService the number of workers that run a service
 * @param workersPerRack the number of workers in a rack
 * @param capacity the capacity of each worker
 * @param services the services, spread evenly over the workers that run one
 * @param loadProfile the load of the services over a day, relative to the peak
 * @param day the duration of a simulated day, over which the load profile is stretched
 * @param days the number of simulated days
 * @param batchDemand the batch work that arrives, relative to the capacity that is not
 * reserved for services
 * @param weights the weights of the measures in the figure of merit
 */
public record Deployment(String name, List<String> domains, int workers, int workersWithService, int workersPerRack,
		Resources capacity, List<ServiceProfile> services, DailyLoadProfile loadProfile, Duration day, int days,
		double batchDemand, MeritWeights weights) {

	private static final Duration SHORT_DAY = Duration.ofMinutes(30);

	/**
	 * Returns a deployment for top-ups of canteen cards: three failure domains, 18
	 * workers, one service on 11 of them.
	 * @return the deployment
	 */
	public static Deployment sappaya() {
		ServiceProfile lunchwallet = new ServiceProfile("lunchwallet", Duration.ofMillis(25),
				new ServiceObjective(Duration.ofMillis(150), 0.99, 0.999), 0.7, 12);
		return new Deployment("sappaya", List.of("bkk-a", "bkk-b", "bkk-c"), 18, 11, 3,
				new Resources(32_000, 125_000, 0), List.of(lunchwallet), DailyLoadProfile.CANTEEN, SHORT_DAY, 3, 0.8,
				new MeritWeights(0.5, 0.2, 0.15, 0.15));
	}

	/**
	 * Returns a deployment for the scheduling of shuttles and parking: three failure
	 * domains, 18 workers, one service on 11 of them.
	 * @return the deployment
	 */
	public static Deployment mela() {
		ServiceProfile rideDesk = new ServiceProfile("ride-desk", Duration.ofMillis(40),
				new ServiceObjective(Duration.ofMillis(250), 0.99, 0.999), 0.7, 6);
		return new Deployment("mela", List.of("bengal-kol", "bengal-hwh", "bengal-sgr"), 18, 11, 3,
				new Resources(16_000, 60_000, 0), List.of(rideDesk), DailyLoadProfile.FESTIVAL, SHORT_DAY, 3, 0.8,
				new MeritWeights(0.2, 0.3, 0.1, 0.4));
	}

	/**
	 * Returns a deployment of the size for which the scheduler is designed: seven failure
	 * domains and 860 workers.
	 * @return the deployment
	 */
	public static Deployment large() {
		List<ServiceProfile> services = List.of(service("search", 10, 8), service("orders", 30, 6),
				service("accounts", 20, 4), service("messages", 50, 2));
		return new Deployment("large", List.of("north-1", "north-2", "north-3", "east-1", "east-2", "west-1", "west-2"),
				860, 600, 20, new Resources(32_000, 125_000, 2), services, DailyLoadProfile.CANTEEN,
				Duration.ofMinutes(15), 2, 0.8, new MeritWeights(0.25, 0.25, 0.25, 0.25));
	}

	private static ServiceProfile service(String name, int medianMilliseconds, double peakRequestsPerSecond) {
		return new ServiceProfile(name, Duration.ofMillis(medianMilliseconds),
				new ServiceObjective(Duration.ofMillis(medianMilliseconds * 6L), 0.99, 0.999), 0.7,
				peakRequestsPerSecond);
	}

	/**
	 * Returns the number of simulation steps. A step is one second.
	 * @return the number of steps
	 */
	public int steps() {
		return (int) this.day.toSeconds() * this.days;
	}

	/**
	 * Returns the time of day at a simulation step.
	 * @param step the step, from 0
	 * @return the hour, from 0 to 24
	 */
	public double hour(int step) {
		long daySeconds = this.day.toSeconds();
		return 24.0 * (step % daySeconds) / daySeconds;
	}

	/**
	 * Returns the deployment with a name.
	 * @param name the name
	 * @return the deployment
	 * @throws IllegalArgumentException if there is no deployment with this name
	 */
	public static Deployment named(String name) {
		return List.of(sappaya(), mela(), large())
			.stream()
			.filter((deployment) -> deployment.name().equals(name))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("unknown deployment " + name));
	}

}
