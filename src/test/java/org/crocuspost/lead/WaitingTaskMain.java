package org.crocuspost.lead;

import java.io.PrintStream;

/**
 * Plays days with faults that overlap, drawn by seed, and prints the jobs of which
 * nothing ran although a task could.
 */
public final class WaitingTaskMain {

	private static final int MAXIMUM_LINES = 4;

	private WaitingTaskMain() {
	}

	/**
	 * Plays days.
	 * @param arguments the first and the last seed, the load in relation to that of the
	 * deployment, the length of the text of a job, and "remain" if some workers are
	 * faulty until the end
	 */
	public static void main(String[] arguments) {
		PrintStream out = System.err;
		WaitingTaskSimulation.Scale scale = new WaitingTaskSimulation.Scale(15, 80, Double.parseDouble(arguments[2]),
				Integer.parseInt(arguments[3]));
		boolean remain = arguments.length > 4 && arguments[4].equals("remain");
		for (long seed = Long.parseLong(arguments[0]); seed <= Long.parseLong(arguments[1]); seed++) {
			WaitingTaskScenario scenario = new WaitingTaskScenario(seed, scale, remain);
			scenario.play();
			WaitingTaskSimulation simulation = scenario.simulation();
			out.println("seed " + seed + ": waiting " + simulation.waitingTasks().size() + ", twice "
					+ simulation.tasksRunTwice().size() + ", " + simulation.statistics() + ", " + scenario.faults());
			simulation.waitingTasks().stream().limit(MAXIMUM_LINES).forEach((line) -> out.println("  WAITS " + line));
			simulation.tasksRunTwice().stream().limit(MAXIMUM_LINES).forEach((line) -> out.println("  TWICE " + line));
		}
	}

}
