package review;

import java.nio.file.Path;

final class RequestAtExit extends Case {
    @Override
    boolean play(Path root, Record record) throws Exception {
        throw new CannotRun("not written");
    }
}
