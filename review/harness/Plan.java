import java.util.List;

/**
 * What a job of the stand-in for a client consists of.
 *
 * @param id the ID of the job
 * @param body the body with which it is submitted
 * @param stepMillis how long each task of a step works
 * @param lasts whether the tasks last until the job is cancelled
 * @param checkpointing whether the tasks make checkpoints
 */
record Plan(String id, String body, List<Integer> stepMillis, boolean lasts, boolean checkpointing) {

	long millis(String task) {
		return this.stepMillis.get(Integer.parseInt(task.split("\\.")[2]));
	}

}
