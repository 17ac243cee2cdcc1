package review;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** Runs one case. The scripts turn the exit statuses into those of the issue, so that a failed start shows nothing. */
abstract class Case {
    private static final long LIMIT_S = 115;
    private static final int HELD = 10;
    private static final int BROKEN = 11;
    private static final int NOT_RUN = 12;

    /** Whether the disruption is played; not with TROUBLE=0. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final long seed = System.getenv("SEED") == null ? 1 : Long.parseLong(System.getenv("SEED"));

    /** Plays the case and returns whether the rule was broken. */
    abstract boolean play(Path root, Record record) throws Exception;

    /** Runs the case named by the first argument, in the repository and with the file of the record that follow. */
    public static void main(String[] arguments) {
        Case chosen = switch (arguments[0]) {
            case "late-copy-of-rejection" -> new LateCopyOfRejection();
            case "departed-server-returns" -> new DepartedServerReturns();
            case "foreign-heartbeat" -> new ForeignHeartbeat();
            case "fraction-in-settings" -> new FractionInSettings();
            case "departure-lost" -> new DepartureLost();
            case "request-at-exit" -> new RequestAtExit();
            case "invalid-literal" -> new InvalidLiteral();
            default -> throw new IllegalArgumentException(arguments[0]);
        };
        PlainServer.daemon(() -> {
            TimeUnit.SECONDS.sleep(LIMIT_S);
            System.out.println("could not run: not done after " + LIMIT_S + " s");
            System.exit(NOT_RUN);
        });
        System.exit(chosen.run(Path.of(arguments[1]), Path.of(arguments[2])));
    }

    private int run(Path root, Path recordFile) {
        try (Record record = new Record(recordFile)) {
            record.say("trouble " + (trouble ? "on" : "off") + ", seed " + seed);
            try {
                boolean broken = play(root, record);
                record.say(broken ? "BROKEN" : "held");
                return broken ? BROKEN : HELD;
            } catch (CannotRun e) {
                record.say("could not run: " + e.getMessage());
                return NOT_RUN;
            }
        } catch (Exception e) {
            e.printStackTrace();
            return NOT_RUN;
        }
    }
}
