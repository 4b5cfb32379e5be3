package laurelkeel.platform;

/** Signals a configuration that cannot be followed; the message names the field or the file, and the reason. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean fileReadable;

    /**
     * Creates one for a configuration that was read.
     *
     * @param subject the field, or what else is wrong
     * @param reason what is wrong with it
     */
    InvalidConfigurationException(String subject, String reason) {
        this(subject, reason, true);
    }

    private InvalidConfigurationException(String subject, String reason, boolean fileReadable) {
        super(subject + ": " + reason);
        this.fileReadable = fileReadable;
    }

    /** One for a file that the system failed to read, whose content may be valid. */
    static InvalidConfigurationException unreadableFile(String file, String reason) {
        return new InvalidConfigurationException(file, "cannot be read: " + reason, false);
    }

    /** False where the system failed to read a file that exists, so that its content may be valid. */
    public boolean isFileReadable() {
        return fileReadable;
    }
}
