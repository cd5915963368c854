import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What the tasks of each job do, and what callers send for it. */
final class Plans {

	/** A step: how many tasks, their size and their work. */
	record Step(int count, int milliCores, int workMillis, List<Integer> after, boolean checkpointing, boolean gang,
			boolean lasting, String label, int perWorker, String image, int targetMillis, boolean fills) {

		static Step of(int count, int milliCores, int workMillis) {
			return new Step(count, milliCores, workMillis, List.of(), false, false, false, "", 0, "", 0, false);
		}

		Step after(int step) {
			return new Step(this.count, this.milliCores, this.workMillis, List.of(step), this.checkpointing, this.gang,
					this.lasting, this.label, this.perWorker, this.image, this.targetMillis, this.fills);
		}

		Step saving() {
			return new Step(this.count, this.milliCores, this.workMillis, this.after, true, this.gang, this.lasting,
					this.label, this.perWorker, this.image, this.targetMillis, this.fills);
		}

		Step together(int limit) {
			return new Step(this.count, this.milliCores, this.workMillis, this.after, this.checkpointing, true,
					this.lasting, this.label, limit, this.image, this.targetMillis, this.fills);
		}

		Step forGood() {
			return new Step(this.count, this.milliCores, this.workMillis, this.after, this.checkpointing, this.gang, true,
					this.label, this.perWorker, this.image, this.targetMillis, this.fills);
		}

		Step serving(String runs, int millis, int limit) {
			return new Step(this.count, this.milliCores, this.workMillis, this.after, this.checkpointing, this.gang, true,
					this.label, limit, runs, millis, false);
		}

		Step filling(String runs) {
			return new Step(this.count, this.milliCores, this.workMillis, this.after, this.checkpointing, this.gang,
					this.lasting, this.label, this.perWorker, runs, 0, true);
		}

		Step on(String required) {
			return new Step(this.count, this.milliCores, this.workMillis, this.after, this.checkpointing, this.gang,
					this.lasting, required, this.perWorker, this.image, this.targetMillis, this.fills);
		}

	}

	private final Map<String, List<Step>> jobs = new ConcurrentHashMap<>();

	void add(String id, List<Step> steps) {
		this.jobs.put(id, steps);
	}

	Step step(String task) {
		String[] parts = task.split("\\.");
		List<Step> steps = this.jobs.get(parts[0]);
		return (steps != null) ? steps.get(Integer.parseInt(parts[2])) : null;
	}

	static String spec(String id) {
		return "work of " + id;
	}

	ObjectNode body(String id) {
		ObjectNode body = Http.object().put("spec", spec(id));
		ArrayNode steps = body.putArray("steps");
		for (Step step : this.jobs.get(id)) {
			ObjectNode node = steps.addObject().put("count", step.count).put("cpu", step.milliCores).put("mem_mb", 64);
			node.put("estimate_ms", step.workMillis);
			if (!step.after.isEmpty()) {
				ArrayNode after = node.putArray("after");
				step.after.forEach(after::add);
			}
			if (step.checkpointing) {
				node.put("checkpointing", true);
			}
			if (step.gang) {
				node.put("gang", true);
			}
			if (step.lasting) {
				node.put("long_running", true);
			}
			if (!step.label.isEmpty()) {
				node.put("constraints", step.label);
			}
			if (!step.image.isEmpty()) {
				node.put("image", step.image);
			}
			if (step.targetMillis > 0) {
				node.put("target_ms", step.targetMillis);
			}
			if (step.fills) {
				node.put("fills", true);
			}
			if (step.perWorker > 0) {
				node.put("anti_affinity", step.perWorker);
			}
		}
		return body;
	}

}
