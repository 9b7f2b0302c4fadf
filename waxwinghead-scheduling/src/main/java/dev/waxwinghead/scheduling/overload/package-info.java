/** Overload control: decisions about jobs when their work exceeds the capacity that workers can give to it. */
package dev.waxwinghead.scheduling.overload;
