/**
 * The platform's configuration, discovery, control service and HTTP protocol, behind the interfaces of the front node.
 *
 * <p>Each protocol is parsed into typed messages in one class, which alone knows its names on the wire: {@link
 * laurelkeel.platform.ControlServiceProtocol}, {@link laurelkeel.platform.DiscoveryProtocol}, {@link
 * laurelkeel.platform.PlatformHeaders} and {@link laurelkeel.platform.NodeConfigurationParser}. The package contains no
 * decision logic. Unless a type says otherwise, it is not thread-safe and is called on the event
 * loop's thread.
 */
@NullMarked
package laurelkeel.platform;

import org.jspecify.annotations.NullMarked;
