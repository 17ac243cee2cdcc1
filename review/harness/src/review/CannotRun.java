package review;

/** The case can't run here, so that nothing is shown. */
final class CannotRun extends Exception {
    private static final long serialVersionUID = 1L;

    CannotRun(String message) {
        super(message);
    }
}
