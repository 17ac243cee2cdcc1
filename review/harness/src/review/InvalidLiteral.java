package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The operator sends configurations with one mistyped literal each, so that they are not JSON and can't be read in
 * full. Each must be answered with a 4xx and must not come into force.
 */
final class InvalidLiteral extends Case {
    /** Text of the valid configuration and what is sent in its place. */
    private static final Map<String, String> TYPOS = new LinkedHashMap<>();

    static {
        TYPOS.put("\"max_attempts\":2", "\"max_attempts\":2x");
        TYPOS.put("\"resumable\":false", "\"resumable\":flase");
        TYPOS.put("\"max_body_bytes\":4194304", "\"max_body_bytes\":4194304B");
        TYPOS.put("\"tls\":false", "\"tls\":no");
    }

    @Override
    boolean play(Path root, Record record) throws Exception {
        List<String> broken = new ArrayList<>();
        try (Fleet fleet = new Fleet(root, record, 3, List.of("zone-a", "zone-b"))) {
            fleet.start(Configurations.plain(1));
            fleet.awaitReady(40_000);
            int version = 1;
            for (Map.Entry<String, String> typo : TYPOS.entrySet()) {
                version++;
                String valid = Configurations.plain(version);
                String sent = trouble ? valid.replaceFirst(typo.getKey(), typo.getValue()) : valid;
                if (trouble && sent.equals(valid)) throw new CannotRun("the typo does not apply: " + typo);
                Http.Message answer = fleet.call(fleet.cores.get(version % fleet.cores.size()), "POST", "/config/put", sent);
                Thread.sleep(3_000);
                Http.Message read = fleet.call(fleet.cores.get(0), "GET", "/config/get", "");
                if (answer == null || read == null) throw new CannotRun("a call got no answer");
                boolean isInForce = read.text().contains("\"version\":" + version + ",");
                record.say("version " + version + (trouble ? " with " + typo.getValue() : "") + ": answered "
                    + answer.status() + ", read back " + (isInForce ? "as in force" : "not in force"));
                if (!trouble && (answer.status() != 200 || !isInForce)) throw new CannotRun("a valid change was not taken");
                if (trouble && (answer.status() / 100 == 2 || isInForce)) broken.add(typo.getValue());
            }
        }
        record.say(broken.size() + " of " + TYPOS.size() + " configurations that are not JSON were acknowledged");
        return !broken.isEmpty();
    }
}
