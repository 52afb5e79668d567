// Smart pointers for GLib objects.
#pragma once

#include <gio/gio.h>

#include <memory>

namespace caraway {

struct ObjectUnref
{
  void operator()(void* aObject) const { g_object_unref(aObject); }
};

// Owns one reference to a GObject.
template<class T>
using ObjectPtr = std::unique_ptr<T, ObjectUnref>;

// Adds a reference to aObject.
template<class T>
ObjectPtr<T> ShareObject(T* aObject)
{
  return ObjectPtr<T>(static_cast<T*>(g_object_ref(aObject)));
}

struct ErrorFree
{
  void operator()(GError* aError) const { g_error_free(aError); }
};

using ErrorPtr = std::unique_ptr<GError, ErrorFree>;

} // namespace caraway
